Feature: Told "not run" means not run

  Scenario: A full queue refuses requests, and later copies do not run
    Given a ledger that takes 400 ms a run, one at a time, with a queue of 2
    When 8 top-ups with keys of their own are sent at once
    Then some are told "not-run" at once, with a Retry-After header
    And copies of these sent later do not run either
    And no key told "not-run" was ever run

  Scenario: A deadline that cannot be met
    Given a ledger that takes 400 ms a run, one at a time, with a queue of 2
    When top-ups with a timeout of 100 ms are sent behind a long run
    Then some are told "not-run" at once, with a Retry-After header
    And copies of these sent later do not run either
    And no key told "not-run" was ever run

  Scenario: The entry refuses requests above the account's rate limit
    Given an account that may send 2 requests a second
    When 12 top-ups with keys of their own are sent at once
    Then some are told "not-run" at once, with a Retry-After header
    And copies of these sent later do not run either
    And no key told "not-run" was ever run

  Scenario: The connection is lost before the target received a byte
    Given a ledger whose targets refuse connections
    When 3 top-ups with keys of their own are sent at once
    Then all are told "not-run"
    And after the targets are back, copies of these do not run
    And no key told "not-run" was ever run

  Scenario: The connection is lost after the target ran the request
    Given a ledger that runs top-ups and loses its responses
    When 3 top-ups with keys of their own are sent at once
    Then none is told "not-run"
    And each of them ran once, also after copies

  Scenario: A call that may not be repeated and has no key
    Given a ledger that takes 0 ms a run, one at a time, with a queue of 2
    When a top-up without a key is sent
    Then it is refused as "key-required" and nothing ran

  Scenario Outline: A process without configuration does not claim "not-run"
    Given an account that may send 100 requests a second
    When a top-up has run, and "<process>" restarts while the store is down
    Then a copy of it through "<process>" is not told "not-run"

    Examples:
      | process  |
      | entry-0  |
      | ledger-0 |
