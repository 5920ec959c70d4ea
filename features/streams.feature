Feature: A caller gets the whole answer to its own request

  Scenario: The engine's connection is cut in the middle of a stream
    Given a running model with two entries
    When the engine cuts a stream of 40 tokens after 10 events
    Then the caller has the whole answer to its own prompt

  Scenario Outline: The engine sends events out of order, twice or late
    Given a running model with two entries
    When the engine's events are "<fault>"
    And 8 callers stream answers of 30 tokens at once
    Then every caller has the whole answer to its own prompt

    Examples:
      | fault     |
      | doubled   |
      | reordered |
      | late      |

  Scenario: An answer names another request
    Given a running model with two entries
    When every rank's answers name another request
    And a caller streams an answer of 5 tokens
    Then the caller got a typed refusal and no token

  Scenario: The entry is killed and the caller reconnects through another
    Given a running model with two entries
    When the entry is killed after 10 events of a stream of 60 tokens
    And the caller goes on through the other entry by its last event's id
    Then the two parts are the whole answer to its own prompt

  Scenario: Another account cannot go on with a stream
    Given a running model with two entries
    When another account asks for the rest of a stream by its event id
    Then it is refused and gets no token

  Scenario: The sidecar is killed in the middle of a stream
    Given a running model with two entries
    When the stream's sidecar is killed after 10 of 200 tokens, and started again
    Then the caller has the whole answer to its own prompt

  Scenario: The target is gone for good in the middle of a stream
    Given a running model with two entries
    When the engine is killed after 5 of 400 tokens
    Then the caller's stream ends with a typed error and no end mark

  Scenario: Two callers use the same request id
    Given a running model with two entries
    When two callers send the same request id at once
    Then every caller has the whole answer to its own prompt

  Scenario: A whole answer that is cut
    Given a running model with two entries
    When the engine is killed while it writes a whole answer
    Then the caller can see that the answer is not whole

  Scenario: A caller that goes away
    Given a running model with two entries
    When a caller goes away after 3 of 4000 tokens
    Then the engine's work for it is cancelled within 4 seconds
