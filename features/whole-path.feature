Feature: Requests through all processes, end to end

  Scenario: Requests and a change of configuration
    Given a platform, an engine group, a ledger, sidecars and two entries
    When a caller streams a response of 20 tokens
    Then the stream is complete and answers the caller's own prompt
    When a caller looks up a balance
    Then the ledger's response is returned
    When the same top-up is sent twice with one key, through both entries
    Then both responses are the same and the ledger ran it once
    When an operator adds an API key to an account
    Then the new key is in force at every entry within 9 seconds
