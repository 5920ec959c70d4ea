Feature: A target gets the cooldown that it asks for

  Scenario: One rank rejects chats and the other serves them all
    Given a model of two ranks, one of which asks for a cooldown of 2 s
    When 30 chats a second are sent for 1900 ms
    Then at most 2 of them reach the rank during its cooldown
    And every chat gets a complete response

  Scenario: All targets of a service ask for a cooldown
    Given a ledger that asks for a cooldown of 2 s
    When 30 lookups a second are sent for 1900 ms
    Then at most 4 of them reach the ledger during its cooldown
    And the others are refused at once with a Retry-After header
    And lookups after the cooldown are served

  Scenario: Calls with request keys respect the cooldown
    Given a ledger that asks for a cooldown of 2 s
    When 10 top-ups a second are sent for 1900 ms
    Then at most 4 of them reach the ledger during its cooldown
    And top-ups with new keys after the cooldown are served
