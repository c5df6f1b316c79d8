@sockets
Feature: Callers over real sockets

  Background:
    Given a deployment of two gateways on loopback

  Scenario Outline: should answer bad input with a typed problem
    When a caller sends <input>
    Then the answer has status <status> and outcome "<outcome>"
    And the next caller is served whole

    Examples:
      | input                               | status | outcome                  |
      | broken JSON                         | 400    | malformed_request        |
      | a body without a model              | 400    | malformed_request        |
      | an oversized body                   | 413    | body_too_large           |
      | an unknown model                    | 404    | unknown_target           |
      | an unknown service                  | 404    | unknown_target           |
      | an unknown path                     | 404    | not_found                |
      | no key                              | 401    | not_authenticated        |
      | a foreign key                       | 401    | not_authenticated        |
      | an order without an idempotency key | 400    | idempotency_key_required |
      | a bad Last-Event-ID                 | 400    | malformed_request        |
      | an unknown class                    | 400    | malformed_request        |

  Scenario: should survive a request that is sent by half
    When a caller connects and vanishes after half a request
    Then the next caller is served whole

  Scenario: should stop an answer whose caller has gone
    When a caller vanishes in the middle of a stream
    Then the engine runs nothing for it any more
    And the next caller is served whole

  Scenario: should continue a stream after the last event that a caller has
    When a caller reads 5 events, is cut, and comes back to the other gateway
    Then both parts together are the whole answer

  Scenario: should reject peers without the key and malformed news
    When a stranger calls the peer port
    Then the peer port answers 401 without a key and 400 for malformed news
    And the next caller is served whole

  Scenario: should answer a whole completion without streaming
    When a caller asks for an answer that is not streamed
    Then the answer has status 200 and names the model

  Scenario: should answer the same order once through both gateways
    When the same order is sent at once through both gateways
    Then both answers are the same and the service ran it once

  Scenario: should replay nothing to another customer
    When another customer sends an order with a key that is in use
    Then the service ran that customer's order too
