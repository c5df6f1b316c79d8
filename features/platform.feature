@platform
Feature: Speaking with the users' platform

  Scenario Outline: should refuse <input> with a clear status and read no further
    Given a front door whose requests are answered
    When a client sends <input>
    Then it gets status <status>

    Examples:
      | input                              | status |
      | a header over the limit            | 431    |
      | a body over the limit              | 413    |
      | a chunked body over the limit      | 413    |
      | a header that never ends           | 408    |
      | a request without an id            | 400    |
      | bytes that are no request          | 400    |
      | a length that is written two times | 400    |

  Scenario: should hand on method, path, body and headers, but no key and no tenant
    Given a front door whose requests are answered
    When a client sends an order with a key, a tenant of its own and hop-by-hop headers
    Then the call has the client's method, path, body and id
    And the forwarded headers hold neither key nor tenant nor hop-by-hop headers

  Scenario: should tell of a client that leaves
    Given a front door whose requests are held
    When a client sends a request and closes its channel
    Then the call is told that its caller has gone

  Scenario: should answer a refusal with its status and when to come back
    Given a front door whose requests are refused as "overloaded"
    When a client sends a small request
    Then it gets status 503
    And it is told to come back in 0.25 seconds

  Scenario: should never let a cut answer look whole
    Given a front door whose answers are cut after 10 bytes
    When a client sends a small request
    Then its channel is closed without the end of the answer

  Scenario Outline: should take an answer <answer> for <end>
    Given a server that answers <answer>
    When a request is forwarded to it
    Then the attempt ends as <end>

    Examples:
      | answer                                 | end         |
      | "whole with a length"                  | "ended"     |
      | "whole in chunks"                      | "ended"     |
      | "whole without a length, then closes"  | "ended"     |
      | "half of its length, then closes"      | "reset"     |
      | "half of its chunks, then closes"      | "reset"     |
      | "without a length, then resets"        | "reset"     |
      | "with another request's id"            | "malformed" |
      | "without a signature"                  | "malformed" |
      | "with bytes that are no answer"        | "malformed" |
      | "nothing and closes"                   | "reset"     |

  Scenario: should not use a channel again on which extra bytes came
    Given a server that sends a second answer after each answer
    When three requests are forwarded to it one after the other
    Then each attempt ended with its own answer or as failed
    And no attempt got bytes of another's answer

  Scenario: should tell that nothing was sent when no channel opens
    Given no server at the address
    When a request is forwarded to it
    Then the attempt ends as "not_sent"

  Scenario: should not take a header that can't be sent for a server that is gone
    Given a server that answers "whole with a length"
    When a request with a header that can't be sent is forwarded to it
    Then the attempt ends as "malformed"

  Scenario: should pass on what is left of the deadline, the instance and the tenant
    Given a server that answers "whole with a length"
    When a request is forwarded to it
    Then the server saw the time left, the instance, the tenant and the client's id

  Scenario Outline: should take an entry <entry> for no server
    Given the example entry of a server, <entry>
    Then it names no server

    Examples:
      | entry                              |
      | "with no address"                  |
      | "with an address that is a number" |
      | "with an unknown state"            |
      | "with no slots"                    |
      | "that is no JSON"                  |
      | "of a group without an epoch"      |

  Scenario: should read the example entry and the example manifest
    Given the example entry of a server, "as it is"
    Then it names a host that may serve
    And the example manifest becomes a catalog with its routes, engines and keys

  Scenario: should follow the store over its calls, and find a lost answer ambiguous
    Given a store over HTTP
    When keys are written under a condition, listed, watched and leased
    Then each call gives what the store holds
    And a refused call had no effect, a call without an answer is ambiguous
