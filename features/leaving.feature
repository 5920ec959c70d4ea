Feature: A leaving target gets no new work, and a planned stop cuts nothing off

  Scenario: A target leaves by its sidecar's announcement
    Given a running fleet under load
    When "rank-0" is told to stop while a long stream runs there
    Then "rank-0" got no new work later than 3 seconds after
    And the long stream is complete
    And no request of the load failed
    And "rank-0" exited with code 0

  Scenario: A target leaves by the platform's list only
    Given a running fleet under load
    When the platform's list says that "rank-0" is leaving
    Then "rank-0" got no new work later than 3 seconds after
    And no request of the load failed

  Scenario: Both the platform's list and the sidecar's announcement are late
    Given a running fleet under load
    When the platform's list lags by 2 seconds and says that "rank-0" is leaving
    Then "rank-0" got no new work later than 5 seconds after
    And no request of the load failed

  Scenario: A target is killed instead of leaving
    Given a running fleet under load
    When "rank-0" is killed without notice
    Then "rank-0" got no new work later than 3 seconds after
    And no request of the load failed for longer than 3 seconds

  Scenario: An entry stops as planned
    Given a running fleet under load
    When "entry-0" is told to stop while streams of 300 tokens run through it
    Then every stream through it is complete
    And "entry-0" exited with code 0

  Scenario: A second signal ends a stop at once
    Given a running fleet under load
    When "entry-0" is told twice to stop while streams of 2000 tokens run through it
    Then "entry-0" exited with code 1

  Scenario: A sidecar stops during a change of map
    Given a running fleet under load
    When "rank-1" is told to stop while the map is being changed
    Then the group continues and no step ran with more than one map version
    And no request of the load failed

  Scenario: A ledger's sidecar stops under load
    Given a running fleet under load
    When "ledger-0" is told to stop while top-ups are sent with minted keys
    Then every top-up got its response and ran once
    And "ledger-0" exited with code 0
