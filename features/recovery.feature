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

  # Guards against starts in which every node campaigns for a key that is held.
  Scenario Outline: should ask the store for no lease of the leader while its key is held
    Given <nodes> nodes with seed 1 that may send requests to a leaving host for 3 seconds
    When all nodes but the leader end, and start again 700 milliseconds later
    Then the nodes have asked the store for <leases> leases by 500 milliseconds later

    Examples:
      | nodes | leases |
      | 5     | 4      |
      | 12    | 11     |

  Scenario: should elect a leader soon after all nodes ended
    Given 12 nodes with seed 1 that may send requests to a leaving host for 3 seconds
    When all nodes end, and start again 700 milliseconds later
    Then a node leads 1500 milliseconds after the former leader's last renewal can have been

  # Guards against polls for a list that is being read for the first time. Two nodes
  # take themselves for publishers at first, which poll soon after a listing.
  Scenario: should not poll the hosts again while it lists them
    Given 12 nodes with seed 1 that may send requests to a leaving host for 3 seconds
    And the store takes 300 milliseconds for each response
    When all nodes but the leader end, and start again 700 milliseconds later
    Then the nodes that started have polled the hosts at most 2 times by 330 milliseconds later

  # Guards against requests that a starting node refuses although it can place
  # them a moment later.
  Scenario: should hold a request until the node can place it
    Given a relay server whose gate opens after 100 milliseconds
    When a caller sends a request with a deadline of 1000 milliseconds
    Then the request is handled after 60 to 300 milliseconds, with 700 to 960 left
    And the caller receives status 200

  Scenario: should handle a request after 400 milliseconds even if the node can't place it
    Given a relay server whose gate opens after 5000 milliseconds
    When a caller sends a request with a deadline of 1000 milliseconds
    Then the request is handled after 380 to 700 milliseconds, with 300 to 620 left

  # Guards against requests that run after their caller has left.
  Scenario: should drop a held request whose caller has left
    Given a relay server whose gate opens after 200 milliseconds
    When a caller sends a request and leaves after 50 milliseconds
    Then no request is handled

  Scenario: should hold no more than 256 requests
    When 300 requests arrive at a closed gate
    Then 44 of them pass at once, and 256 when it opens, in order
