@recovery
Feature: Recovery after every process ended

  # Guards against another hash, which would move keys between nodes of two versions.
  Scenario Outline: should hash "<text>" as XXH32 does
    When "<text>" is hashed
    Then the hash is <hash>

    Examples:
      | text                                    | hash     |
      |                                         | 02cc5d05 |
      | abc                                     | 32d153ff |
      | Nobody inspects the spammish repetition | e2293b2f |
      | exactly16 bytes!                        | 3762f1f4 |
      | Größe, 大小, und mehr als 16 Bytes      | 3fc91c02 |

  # Guards against starts of which nobody can say what took how long.
  Scenario Outline: should log when each step of a start was reached
    Given <nodes> nodes with seed 1 that may send requests to a leaving host for 3 seconds
    When all nodes end, and start again 700 milliseconds later
    Then each node logs every step of its start once, up to its first request

    Examples:
      | nodes |
      | 2     |
      | 12    |

  Scenario: should log which steps of a start are missing after 10 seconds
    Given 2 nodes with seed 1 that may send requests to a leaving host for 3 seconds
    When all nodes end, and start again without the store
    Then each node logs that "storeReached" is missing, 10 seconds after its start

  # Guards against a bundle whose compiled code V8 rejects, so that each start
  # compiles it again.
  Scenario Outline: should start a bundle <how> the code compiled for it
    Given a bundle of the node
    When it is started with <flags>
    Then it runs, <how> the code compiled for it

    Examples:
      | how     | flags                       |
      | with    | the flags of the deployment |
      | without | other flags                 |

  Scenario Outline: should serve <method> <target> of an endpoint with status <status>
    Given an endpoint server for "/ready" that responds 200, and fails when asked to
    When <method> <target> is requested from it
    Then its response has status <status> and body "<body>"

    Examples:
      | method | target        | status | body                  |
      | GET    | /ready        | 200    | zone=none             |
      | GET    | /ready?zone=a | 200    | zone=a                |
      | HEAD   | /ready        | 200    |                       |
      | POST   | /ready        | 404    | 404 Not Found         |
      | GET    | /other        | 404    | 404 Not Found         |
      | GET    | /ready?fail=1 | 500    | Internal Server Error |
