Feature: A caller gets the whole answer to its own request

  Scenario: The engine's connection is cut in the middle of a stream
    Given a running model with two entries
    When the engine cuts a stream of 40 tokens after 10 events
    Then the caller gets the complete response to its own prompt

  Scenario Outline: The engine sends events out of order, twice or late
    Given a running model with two entries
    When the engine's events are "<fault>"
    And 8 callers stream responses of 30 tokens at once
    Then every caller gets the complete response to its own prompt

    Examples:
      | fault     |
      | doubled   |
      | reordered |
      | late      |

  Scenario: A response names another request
    Given a running model with two entries
    When every rank's responses name another request
    And a caller streams a response of 5 tokens
    Then the caller gets a typed refusal and no token

  Scenario: The entry is killed and the caller reconnects through another
    Given a running model with two entries
    When the entry is killed after 10 events of a stream of 60 tokens
    And the caller reconnects through the other entry with its last event's id
    Then the two parts form the complete response to its own prompt

  Scenario: Another account cannot resume a stream
    Given a running model with two entries
    When another account reconnects with an event id of the stream
    Then it is refused and gets no token

  Scenario: The sidecar is killed in the middle of a stream
    Given a running model with two entries
    When the stream's sidecar is killed after 10 of 200 tokens, and started again
    Then the caller gets the complete response to its own prompt

  Scenario: The target fails permanently in the middle of a stream
    Given a running model with two entries
    When the engine is killed after 5 of 400 tokens
    Then the caller's stream ends with a typed error and no end marker

  Scenario: Two callers use the same request id
    Given a running model with two entries
    When two callers send the same request id at once
    Then every caller gets the complete response to its own prompt

  Scenario: A non-streaming response is truncated
    Given a running model with two entries
    When the engine is killed while it writes a non-streaming response
    Then the caller can tell that the response is incomplete

  Scenario: A caller disconnects
    Given a running model with two entries
    When a caller disconnects after 3 of 4000 tokens
    Then the engine's work for it is cancelled within 4 seconds
