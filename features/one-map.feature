Feature: One expert map in every step

  Background:
    Given a running group of three ranks

  Scenario: The usual change costs no pause
    When the leader changes the map 5 times
    Then all ranks run the last map
    And no step was mixed
    And the group waited for at most 1 of its steps

  Scenario Outline: The leader is killed after a message
    When the leader is killed after its <nth> "<order>" of a change
    Then the group runs on within 3 seconds, on one map
    And no step was mixed

    Examples:
      | nth | order         |
      | 1   | groups.query  |
      | 3   | groups.query  |
      | 1   | groups.stage  |
      | 2   | groups.stage  |
      | 1   | groups.arm    |
      | 2   | groups.arm    |
      | 1   | groups.commit |
      | 2   | groups.commit |

  Scenario: The leader is killed between arm and commit while the store is down
    Given the platform is down
    When the leader is killed after its 2 "groups.arm" of a change
    Then the group runs on within 3 seconds, on one map
    And no step was mixed

  Scenario: A frozen leader wakes after another one has led
    When the leader is frozen after its 2 "groups.arm" of a change
    And another rank leads a change of its own
    And the frozen leader wakes
    Then the group runs on within 3 seconds, on one map
    And no step was mixed

  Scenario: A rank is cut off while it is armed
    When rank 2 is cut off from the leader after it has armed
    Then the group runs on within 5 seconds, on one map
    And no step was mixed

  Scenario: Answers to arm are lost
    When the answers of rank 1 to "groups.arm" are lost during a change
    Then the group runs on within 5 seconds, on one map
    And no step was mixed

  Scenario: Two leaders at once
    When ranks 0 and 1 lead changes at the same time, 5 times
    Then the group runs on within 3 seconds, on one map
    And no step was mixed

  Scenario: The ranks' engines restart
    When the group's engines restart without a map
    Then the group runs on within 3 seconds, on one map
    And no step was mixed

  Scenario: The ranks' engines restart while the store is down
    Given the platform is down
    When the group's engines restart without a map
    Then the group runs on within 3 seconds, on one map
    And no step was mixed

  Scenario: An armed rank's sidecar restarts
    When rank 1's sidecar is killed after it has armed, and started again
    Then the group runs on within 5 seconds, on one map
    And no step was mixed
