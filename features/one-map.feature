Feature: One expert map in every step

  Background:
    Given a running group of three ranks

  Scenario: A change without faults blocks for one step at most
    When the leader changes the map 5 times
    Then all ranks use the last map
    And no step ran with more than one map version
    And the group was blocked for at most 1 of its steps

  Scenario Outline: The leader is killed after a request
    When the leader is killed after request <nth> of "<method>" in a change
    Then the group continues within 3 seconds on one map
    And no step ran with more than one map version

    Examples:
      | nth | method        |
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
    When the leader is killed after request 2 of "groups.arm" in a change
    Then the group continues within 3 seconds on one map
    And no step ran with more than one map version

  Scenario: A frozen leader resumes after another rank has led a change
    When the leader is frozen after request 2 of "groups.arm" in a change
    And another rank leads a change
    And the frozen leader resumes
    Then the group continues within 3 seconds on one map
    And no step ran with more than one map version

  Scenario: A rank is disconnected while it is armed
    When rank 2 is disconnected from the leader after it has armed
    Then the group continues within 5 seconds on one map
    And no step ran with more than one map version

  Scenario: Responses to groups.arm are lost
    When the responses of rank 1 to "groups.arm" are lost during a change
    Then the group continues within 5 seconds on one map
    And no step ran with more than one map version

  Scenario: Two ranks lead at once
    When ranks 0 and 1 lead changes at the same time, 5 times
    Then the group continues within 3 seconds on one map
    And no step ran with more than one map version

  Scenario: The ranks' engines restart
    When the group's engines restart without a map
    Then the group continues within 3 seconds on one map
    And no step ran with more than one map version

  Scenario: The ranks' engines restart while the store is down
    Given the platform is down
    When the group's engines restart without a map
    Then the group continues within 3 seconds on one map
    And no step ran with more than one map version

  Scenario: An armed rank's sidecar restarts
    When rank 1's sidecar is killed after it has armed, and started again
    Then the group continues within 5 seconds on one map
    And no step ran with more than one map version
