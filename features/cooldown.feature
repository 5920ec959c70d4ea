Feature: A target that asks for rest gets it

  Scenario: One rank turns chats away, and the other serves them all
    Given a model of two ranks, one of which asks for 2 s of rest
    When 30 chats a second are sent for 1900 ms
    Then at most 2 of them reach the rank while it rests
    And every chat is served whole

  Scenario: All targets of a service want rest
    Given a ledger that asks for 2 s of rest
    When 30 lookups a second are sent for 1900 ms
    Then at most 4 of them reach the ledger while it rests
    And the others are told at once when to come back
    And lookups after the rest are served

  Scenario: Calls with keys pass the same place
    Given a ledger that asks for 2 s of rest
    When 10 top-ups a second are sent for 1900 ms
    Then at most 4 of them reach the ledger while it rests
    And top-ups with new keys after the rest are served
