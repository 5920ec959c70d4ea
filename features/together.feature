Feature: All promises under all failures together

  Scenario Outline: A seeded schedule of failures over the whole fleet
    Given a fleet with two entries, three ranks and three ledgers
    When failures drawn from seed <seed> hit it for 12 seconds
    Then every promise held
    And most of the work was done

    Examples:
      | seed |
      | 1    |
      | 2    |
