Feature: A request that may not be repeated runs at most once

  Scenario: Many copies through two entries at once
    Given a running ledger with two entries
    When 20 copies of a top-up are sent through both entries at once
    Then the ledger ran it once
    And every copy got the same response

  Scenario: The owner is killed while the top-up runs, and restarted in place
    Given a running ledger with two entries
    And the ledger takes 600 ms for a top-up
    When a top-up's owner is killed while it runs, and restarted in place
    And the caller sends it 5 times more
    Then the ledger ran it once
    And no copy was told that it did not run
    And a new key is served within 4 seconds

  Scenario: The owner is killed and not restarted
    Given a running ledger with two entries
    When a top-up's owner is killed and not restarted
    And the caller sends it 3 times more
    Then the ledger ran it once
    And every later copy got the outcome "unknown"
    And a new key is served within 1 seconds

  Scenario: The owner is frozen, its slots are taken over, and it resumes
    Given a running ledger with ownership terms of 2 seconds
    When a top-up's owner is frozen before the request is sent
    And the caller sends it once and its slots are taken over
    And the frozen owner resumes and the caller sends it 4 times more
    Then the ledger ran it at most once
    And a new key is served within 4 seconds

  Scenario: Store responses are lost while owners restart
    Given a running ledger with ownership terms of 2 seconds
    When all owners restart while the store loses 8 responses
    Then a new key is served within 6 seconds
    And copies of it run once

  Scenario: The store is down for longer than a term
    Given a running ledger with ownership terms of 2 seconds
    When the store is down for 7 seconds
    Then lookups are answered meanwhile
    And a top-up is refused within 3 seconds with a Retry-After header
    And after the outage a new key is served within 4 seconds

  Scenario Outline: A caller's clock is wrong
    Given a running ledger with two entries
    When a caller whose clock is <minutes> minutes off mints a key and sends it
    Then the response has the outcome "<outcome>"
    And the ledger never ran it

    Examples:
      | minutes | outcome |
      | 7       | unknown |
      | -7      | not-run |

  Scenario: A planned stop hands the keys over
    Given a running ledger with two entries
    When a top-up has run and its owner stops as planned
    Then a copy of the top-up still gets the first response
    And the ledger ran it once
