Feature: All guarantees under combined faults

  Scenario Outline: Faults drawn from a seed hit a fleet under load
    Given a fleet with two entries, three ranks and three ledgers
    When faults drawn from seed <seed> are injected for 12 seconds
    Then every guarantee held
    And streams and top-ups were completed

    Examples:
      | seed |
      | 1    |
      | 2    |
