@false_heads
Feature: Heads that are no answer

  A status outside of 100 to 599, a version other than HTTP/1.0 and HTTP/1.1, a head
  without a status, an interim head that nobody asked for, and a body in a coding
  that is not decoded are no answers. The connection on which they arrive is closed,
  and no other request uses it.

  Scenario Outline: should take no answer from <head> to a request that may run once
    Given callers of a relay before 2 hosts
    When a caller's first attempt at "/order/" is responded to with <head>
    Then the caller receives status 502 and no byte of a host
    And the request was sent to 1 host
    And the relay's first attempt is "malformed"
    And the connection of the head is closed and no other request used it
    And the requests that follow are served

    Examples:
      | head                                |
      | "status 000"                        |
      | "status 099"                        |
      | "status 0"                          |
      | "status 20"                         |
      | "status 600"                        |
      | "status 999"                        |
      | "status 1000"                       |
      | "status 2000"                       |
      | "status of letters"                 |
      | "no status"                         |
      | "nothing but a version"             |
      | "version 0.9"                       |
      | "version 1.2"                       |
      | "version 2"                         |
      | "version 2.0"                       |
      | "another protocol"                  |
      | "no version"                        |
      | "status 100"                        |
      | "status 101"                        |
      | "an upgrade"                        |
      | "status 100, alone"                 |
      | "status 101, alone"                 |
      | "an upgrade, alone"                 |
      | "status 100 before an answer"       |
      | "status 000, not run"               |
      | "status 600, not run"               |
      | "version 2.0, not run"              |
      | "status 999 in pieces"              |
      | "status 000 after an interim head"  |
      | "status 999 after interim heads"    |
      | "status 000 before an answer"       |
      | "an unknown transfer coding" |
      | "a second transfer coding" |
      | "an empty transfer coding" |
      | "a content coding" |

  Scenario Outline: should send a request elsewhere after <head> if it may run twice
    Given callers of a relay before 2 hosts
    When a caller's first attempt at "/look/" is responded to with <head>
    Then the caller receives status 200 and the whole body of a host
    And the request was sent to 2 hosts
    And the relay's first attempt is "malformed"
    And the connection of the head is closed and no other request used it
    And the requests that follow are served

    Examples:
      | head                               |
      | "status 000"                       |
      | "status 600"                       |
      | "status 999"                       |
      | "status 1000"                      |
      | "version 2.0"                      |
      | "no status"                        |
      | "status 101"                       |
      | "status 600, not run"              |
      | "status 999 after interim heads"   |
      | "an unknown transfer coding" |
      | "a second transfer coding" |
      | "an empty transfer coding" |
      | "a content coding" |

  Scenario Outline: should continue a stream elsewhere after <head>
    Given callers of a relay before 3 hosts
    And a stream's first attempt breaks off after 4 events
    When a caller's second attempt at "/draft/" is responded to with <head>
    Then the caller has received events 1 to 10, once each, and status 200
    And the request was sent to 3 hosts
    And the relay's second attempt is "malformed"
    And the connection of the head is closed and no other request used it

    Examples:
      | head                             |
      | "status 000"                     |
      | "status 600"                     |
      | "status 999"                     |
      | "status 1000"                    |
      | "version 2.0"                    |
      | "another protocol"               |
      | "no status"                      |
      | "status 000 after an interim head" |
      | "an unknown transfer coding" |
      | "a second transfer coding" |
      | "an empty transfer coding" |
      | "a content coding" |

  Scenario Outline: should take no answer from <head> to a stream that may run once
    Given callers of a relay before 2 hosts
    When a caller's first attempt at "/once/" is responded to with <head>
    Then the caller receives status 502 and no byte of a host
    And the request was sent to 1 host
    And the relay's first attempt is "malformed"
    And the connection of the head is closed and no other request used it

    Examples:
      | head          |
      | "status 000"  |
      | "status 600"  |
      | "status 999"  |
      | "version 2.0" |
      | "an unknown transfer coding" |
      | "a second transfer coding" |
      | "an empty transfer coding" |
      | "a content coding" |

  Scenario Outline: should take no answer from <head> to the second request on a connection
    Given callers of a relay before 1 host
    When a caller's second request on a connection is responded to with <head>
    Then the caller receives status 502 and no byte of a host
    And the request was sent to 1 host
    And the relay's second attempt is "malformed"
    And the connection of the head is closed and no other request used it
    And the requests that follow are served

    Examples:
      | head                             |
      | "status 000"                     |
      | "status 999 in pieces"           |
      | "version 2.0"                    |
      | "status 999 after interim heads" |

  Scenario: should still take an answer of HTTP/1.0, after empty lines and an interim head
    Given callers of a relay before 2 hosts
    When a caller's first attempt at "/order/" is responded to with "an unusual answer"
    Then the caller receives status 200 and the whole body of a host

  Scenario: should still take an answer that begins before its host has read the request
    Given callers of a relay before 1 host
    When a caller's request with a body of 4000000 bytes is responded to with "an early answer"
    Then the caller receives status 200 and the whole body of a host

  Scenario Outline: should take no report and no reply to a command from <head>
    Given a server that responds with <head> to the first request on each path
    When a report is requested and a join is sent
    Then both calls fail as "malformed"
    And every connection with that head is closed
    And the same calls succeed afterwards

    Examples:
      | head                               |
      | "status 000"                       |
      | "status 099"                       |
      | "status 0"                         |
      | "status 600"                       |
      | "status 999"                       |
      | "status 1000"                      |
      | "version 2.0"                      |
      | "another protocol"                 |
      | "no status"                        |
      | "status 101"                       |

  Scenario Outline: should take no answer from <head> to an attempt of a gateway
    Given a server that responds with <head> to the first request on each path
    When a gateway sends an attempt
    Then the call fails as "broken"
    And every connection with that head is closed
    And the same calls succeed afterwards

    Examples:
      | head               |
      | "status 000"       |
      | "status 600"       |
      | "status 999"       |
      | "status 1000"      |
      | "version 2.0"      |
      | "another protocol" |
      | "an unknown transfer coding" |
      | "a second transfer coding" |
      | "an empty transfer coding" |
      | "a content coding" |

  Scenario Outline: should take no status of an engine from <head>
    Given a server that responds with <head> to the first request on each path
    When a controller requests the status of an engine
    Then the call fails as "unreachable"
    And every connection with that head is closed
    And the same calls succeed afterwards

    Examples:
      | head               |
      | "status 000"       |
      | "status 600"       |
      | "version 2.0"      |
      | "another protocol" |

  Scenario Outline: should not know from <head> whether the store has carried out a call
    Given a server that responds with <head> to the first request on each path
    When keys are listed and written, and a lease is granted and ended
    Then all calls fail as "ambiguous"
    And every connection with that head is closed
    And the same calls succeed afterwards

    Examples:
      | head                               |
      | "status 000"                       |
      | "status 099"                       |
      | "status 0"                         |
      | "status 600"                       |
      | "status 999"                       |
      | "status 1000"                      |
      | "version 2.0"                      |
      | "another protocol"                 |
      | "no status"                        |
      | "status 101"                       |
