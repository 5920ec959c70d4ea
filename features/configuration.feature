Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: Operators edit at the same time
    Given a running site with two entries
    When 6 operators change the same account at once from the same version
    Then exactly one change is accepted and 5 get both sides of the conflict
    And the accepted change is in force at every process within 9 seconds

  Scenario: The response to an accepted change is lost
    Given a running site with two entries
    When an operator's change takes effect and its response is lost
    Then the operator is told that it is accepted
    And the accepted change is in force at every process within 9 seconds

  Scenario: The store goes down right after acceptance
    Given a running site with two entries
    When a change is accepted, one process is notified, and the store goes down
    Then the accepted change is in force at every process within 9 seconds
    And no process ever went back to an older revision

  Scenario: A process restarts during the outage
    Given a running site with two entries
    When a change is accepted, one process is notified, and the store goes down
    And "entry-1" is killed and started again with its peers set
    Then the accepted change is in force at every process within 9 seconds

  Scenario: The store reads from a stale replica
    Given a running site with two entries
    When a change is in force and the store then returns the state before it
    And "entry-0" is killed and started again with its peers set
    Then the accepted change is in force at every process within 9 seconds
    And no process ever went back to an older revision

  Scenario: A frozen process resumes
    Given a running site with two entries
    When "entry-1" is frozen while a change is accepted, and resumes
    Then the accepted change is in force at every process within 9 seconds

  Scenario: A change that is invalid
    Given a running site with two entries
    When an operator sets a parameter outside its bounds
    Then the change is refused with the bounds and nothing changes
