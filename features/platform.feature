@platform
Feature: Platform integration over HTTP

  Scenario Outline: should reject <input> with a specific status and stop reading
    Given a relay server that responds to requests
    When the relay server receives <input>
    Then the caller receives status <status>

    Examples:
      | input                         | status |
      | a header over the limit       | 431    |
      | a body over the limit         | 413    |
      | a chunked body over the limit | 413    |
      | a header that never ends      | 408    |
      | a request without an id       | 400    |
      | bytes that are not HTTP       | 400    |
      | two Content-Length headers    | 400    |

  Scenario Outline: should refuse a <kind> body that does not fit beside the others
    # Guards against bodies that exceed the memory of the process together.
    Given a relay server with a budget of 5000 bytes for bodies and an idle timeout of 5000 ms
    When one caller sends a body of 3000 bytes
    And another caller sends a <kind> body of 3000 bytes
    Then the other caller is refused with 503 and a time to return, and nothing of it is relayed
    And the other caller's connection serves its next request
    When the response to the first caller ends
    And another caller sends a <kind> body of 3000 bytes
    Then the other caller's whole body is relayed

    Examples:
      | kind    |
      | sized   |
      | chunked |

  Scenario: should refuse a large body that does not fit, and relay one that does
    Given a relay server with a budget of 150000 bytes for bodies and an idle timeout of 5000 ms
    When one caller sends a body of 100000 bytes
    And another caller sends a sized body of 100000 bytes
    Then the other caller is refused with 503 and a time to return, and nothing of it is relayed
    When the response to the first caller ends
    And another caller sends a sized body of 100000 bytes
    Then the other caller's whole body is relayed

  Scenario: should close the connection of a caller that stands still within its body
    Given a relay server with a budget of 150000 bytes for bodies and an idle timeout of 400 ms
    When a caller stands still within a body of 100000 bytes
    And another caller sends a sized body of 100000 bytes after 600 milliseconds
    Then the other caller's whole body is relayed

  Scenario: should forward method, path, body and headers, but neither key nor tenant
    Given a relay server that responds to requests
    When a caller sends a request with a key, a tenant of its own and hop-by-hop headers
    Then the relayed request has the caller's method, path, body and id
    And the forwarded headers include neither key nor tenant nor hop-by-hop headers

  Scenario: should report a caller that disconnects
    Given a relay server that leaves requests pending
    When a caller sends a request and closes its connection
    Then the relay is notified that the caller has disconnected

  Scenario: should send a refusal with its status and a retry delay
    Given a relay server that refuses requests as "overloaded"
    When a caller sends a small request
    Then the caller receives status 503
    And the caller receives a retry delay of 0.25 seconds

  Scenario: should fail only the request whose handling fails unexpectedly
    Given a relay server that fails unexpectedly on its first request
    When a caller sends a small request
    Then the caller receives status 500
    And the error is reported once
    When a caller sends a small request
    Then the caller receives status 200

  Scenario: should never let an aborted response look complete
    Given a relay server that aborts responses after 10 bytes
    When a caller sends a small request
    Then the caller's connection is closed without the end of the response

  Scenario Outline: should end an attempt as <end> on a response <response>
    Given a host that responds <response>
    When a request is forwarded to it
    Then the attempt ends as <end>

    Examples:
      | response                                  | end         |
      | "complete, with a length"                 | "ended"     |
      | "complete, in chunks"                     | "ended"     |
      | "complete, without a length, then closes" | "ended"     |
      | "half of its length, then closes"         | "reset"     |
      | "half of its chunks, then closes"         | "reset"     |
      | "without a length, then resets"           | "reset"     |
      | "with another request's id"               | "malformed" |
      | "without a server stamp"                  | "malformed" |
      | "with bytes that are not HTTP"            | "malformed" |
      | "with nothing, then closes"               | "reset"     |

  Scenario: should not reuse a connection that received extra bytes
    Given a host that sends a second response after each response
    When three requests are forwarded to it one after the other
    Then each attempt ended with its own response or failed
    And no attempt received bytes of another's response

  Scenario: should report that nothing was sent when no connection opens
    Given no host at the address
    When a request is forwarded to it
    Then the attempt ends as "not_sent"

  Scenario: should report a header that can't be sent as malformed, not as a host failure
    Given a host that responds "complete, with a length"
    When a request with a header that can't be sent is forwarded to it
    Then the attempt ends as "malformed"

  # Guards against requests on connections that open after the host has left.
  Scenario Outline: should not send a request to a host that left before a connection was free
    Given a host that responds "complete, with a length"
    When the host leaves while <connection>
    Then the attempt ends as "withheld"
    And the host received nothing

    Examples:
      | connection                                                   |
      | a connection for a request to it is opened                   |
      | a connection to it is idle, and a request is forwarded to it |

  Scenario: should send the host the remaining time, its own id and the tenant
    Given a host that responds "complete, with a length"
    When a request is forwarded to it
    Then the host received the remaining time, its own id, the tenant and the request id

  Scenario Outline: should reject a host entry <entry>
    Given the example host entry <entry>
    Then it describes no usable host

    Examples:
      | entry                              |
      | "without an address"               |
      | "with an address that is a number" |
      | "with an unknown state"            |
      | "without slots"                    |
      | "that is not JSON"                 |
      | "with a group without an epoch"    |

  Scenario: should parse the example host entry and the example manifest
    Given the example host entry "with all fields"
    Then it describes a usable host
    And the example manifest is parsed into a catalog with its routes, engines and keys

  # Guards against calls that time out one after the other on silent connections.
  Scenario: should reach the store after one timeout when all open connections have gone silent
    Given a store over HTTP
    When 5 connections to it are open and all of them go silent
    Then the first call is lost, and the next one succeeds

  Scenario: should use the store over HTTP, and report a lost response as ambiguous
    Given a store over HTTP
    When keys are written under a condition, listed, watched and leased
    Then each call returns a result that matches the store's state
    And a refused call had no effect, and a call without a response is ambiguous

  Scenario: should not command or report a host that another one's address belongs to now
    Given a host that serves at the address of one that is gone
    When a join is sent to the host that is gone, and its report is requested
    Then the join is refused as sent to another host, and the report as well
    And the host that serves there has accepted no command
