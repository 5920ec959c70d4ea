Feature: The whole path, as separate processes

  Scenario: Requests and a change of configuration
    Given a platform, an engine group, a ledger, sidecars and two entries
    When a caller streams an answer of 20 tokens
    Then the stream is whole and answers the caller's own prompt
    When a caller looks up a balance
    Then the ledger's answer arrives
    When the same top-up is sent twice with one key, through both entries
    Then both answers are the same and the ledger ran it once
    When an operator gives an account another API key
    Then the new key is in force at every entry within 9 seconds
