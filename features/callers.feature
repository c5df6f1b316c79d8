@sockets
Feature: Callers over real sockets

  Background:
    Given a deployment of two gateways on loopback

  Scenario Outline: should respond to invalid input with a typed problem
    When a caller sends <input>
    Then the response has status <status> and outcome "<outcome>"
    And the next caller receives a complete response

    Examples:
      | input                               | status | outcome                  |
      | broken JSON                         | 400    | malformed_request        |
      | a body without a model              | 400    | malformed_request        |
      | an oversized body                   | 413    | body_too_large           |
      | an unknown model                    | 404    | unknown_target           |
      | an unknown service                  | 404    | unknown_target           |
      | an unknown path                     | 404    | not_found                |
      | no key                              | 401    | not_authenticated        |
      | an unknown key                      | 401    | not_authenticated        |
      | an order without an idempotency key | 400    | idempotency_key_required |
      | a bad Last-Event-ID                 | 400    | malformed_request        |
      | an unknown class                    | 400    | malformed_request        |

  Scenario: should survive a request that is sent only in part
    When a caller disconnects after half a request
    Then the next caller receives a complete response

  Scenario: should stop a response whose caller has disconnected
    When a caller disconnects in the middle of a stream
    Then no engine runs the request any more
    And the next caller receives a complete response

  Scenario: should resume a stream after the last event that the caller received
    When a caller reads 5 events, disconnects and resumes at the other gateway
    Then both parts together are the complete response

  Scenario: should reject peers without the key and malformed messages
    When the peer port receives a request without a key and a malformed message
    Then the peer port responds with 401 without a key and 400 for a malformed message
    And the next caller receives a complete response

  Scenario: should serve a completion without streaming
    When a caller requests a completion without streaming
    Then the response has status 200 and names the model

  Scenario: should run an order once when it is sent through both gateways
    When the same order is sent through both gateways at the same time
    Then both responses are equal and the service ran the order once

  Scenario: should not replay a response to another customer
    When another customer sends an order with an idempotency key that is in use
    Then the service ran that customer's order too
