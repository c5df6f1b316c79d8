@streams
Feature: Streams that upstreams spoil

  A response that ends as complete holds each event once, in order. The first group
  is the one that gets the first attempt.

  Scenario: should log and count why a stream can't be forwarded any further
    Given a relay with 2 replica groups of "small"
    And the first group sends "id: 90" in place of "id: 5", 1 event a write
    When a stream of 10 events is requested
    Then the attempt's end is logged with "gap: id 90 after 4"
    And 1 stream fault of the kind "gap" is counted

  Scenario: should keep the events before a spoiled one in the same write
    Guards against events that were accepted, dropped with a later one of their
    chunk, and left out of the retry.
    Given a relay with 2 replica groups of "small"
    And the first group sends "id: 90" in place of "id: 10", 2 events a write
    When a stream of 10 events is requested
    Then the caller has pieces 1 to 10 in a complete response after 2 attempts
    And the retry asked for the events after 9

  Scenario: should keep the events before one that exceeds the size limit
    Given a relay with 2 replica groups of "small"
    And the first group sends an event of 1100000 bytes as event 10, after event 9 in the same write
    When a stream of 10 events is requested
    Then the caller has pieces 1 to 10 in a complete response after 2 attempts
    And the retry asked for the events after 9

  Scenario: should not take the first id of a stream for granted
    Guards against events that are dropped as duplicates of ones that never came.
    Given a relay with 2 replica groups of "small"
    And the first group sends "id: 7\n" in place of "id: 1\n", 1 event a write
    When a stream of 10 events is requested
    Then the caller has pieces 1 to 10 in a complete response after 2 attempts

  Scenario Outline: should continue a stream elsewhere after <what>
    Guards against an event that is forwarded although it can't be told which one
    it is, so that the retry repeats it or leaves others out.
    Given a relay with 2 replica groups of "small"
    And the first group sends "<sent>" in place of "<text>", <events> events a write
    When a stream of 10 events is requested
    Then the caller has pieces 1 to 10 in a complete response after 2 attempts

    Examples:
      | what                                     | text             | sent             | events |
      | a first id that is not a number          | id: 1\n          | id: x\n          | 1      |
      | a first id of 0                          | id: 1\n          | id: 0\n          | 1      |
      | a spoiled name of the first id           | id: 1\n          | ie: 1\n          | 1      |
      | an id that is not a number               | id: 5\n          | id: x\n          | 1      |
      | an id that is not a number, in one write | id: 5\n          | id: x\n          | 10     |
      | an id that came before                   | id: 5\n          | id: 3\n          | 1      |
      | the same id twice                        | id: 5\n          | id: 4\n          | 1      |
      | a last id that came before               | id: 10\n         | id: 1x\n         | 1      |
      | an empty id                              | id: 5\n          | id: \n\n         | 1      |
      | a spoiled name of an id                  | id: 5\n          | ix: 5\n          | 1      |
      | an id whose line became a comment        | id: 5\n          | :d: 5\n          | 1      |
      | an id without a colon                    | id: 5\n          | id; 5\n          | 1      |
      | a spoiled name of data                   | data: piece 5\n  | dbta: piece 5\n  | 1      |
      | data that became a comment               | data: piece 5\n  | :ata: piece 5\n  | 1      |
      | data without a colon                     | data: piece 5\n  | data; piece 5\n  | 1      |
      | a line end within the name of data       | data: piece 5\n  | da\na: piece 5\n | 1      |
      | a spoiled line end                       | piece 5\n        | piece 5 x        | 1      |
      | a spoiled line end before a comment sign | piece 5\n\n      | piece 5\n:       | 1      |
      | a spoiled end of an event                | piece 5\n\n      | piece 5\nx       | 1      |
      | a spoiled end of an event, in one write  | piece 5\n\n      | piece 5\nx       | 10     |
      | a carriage return for an event's end     | piece 5\n\n      | piece 5\r\n      | 10     |
      | a spoiled end of the last event          | piece 10\n\n     | piece 10\nx      | 1      |
      | a comment for the first of two lines     | id: 5\ndata: p   | :ata: p\nid: 5\ndata: p  | 1 |
      | a colon in the name of one of two lines  | data: piece 5\n  | da:a: p\ndata: piece 5\n | 1 |
      | no colon after the name of one of two    | data: piece 5\n  | data0a: p\ndata: piece 5\n | 1 |
      | a line end for the colon of data         | data: piece 5\n  | data\na:piece 5\n | 1 |
      | a spoiled carriage return                | id: 5\ndata: piece 5\n\n | id: 5\r\ndata: piece 5\n\r\n | 1 |

  Scenario: should not take an end after a copy of the last event for the end of a stream
    Guards against a last event that shows the id before its own.
    Given a relay with 2 replica groups of "small"
    And every group breaks off after event 9, and shows id 9 for event 10
    When a stream of 10 events is requested
    Then the response is broken off after piece 9

  Scenario: should not continue a stream after an id that one event alone shows
    Guards against a copy whose wrong id is the next one.
    Given a stream that broke off after event 5
    When the next attempt begins with id 6
    Then no attempt continues the stream
    When the attempt goes on with id 7
    Then another attempt continues the stream after event 7

  Scenario: should not take a stream that ends after a comment for a response
    Given a relay with 2 replica groups of "small"
    And the first group sends only a comment
    When a stream of 10 events is requested
    Then the caller has pieces 1 to 10 in a complete response after 2 attempts

  Scenario: should break off a stream that can't be continued when its ids contradict each other
    Given a relay with 2 replica groups of "small"
    And the first group sends "id: 7\n" in place of "id: 1\n", 1 event a write
    When a stream of 10 events that must not run twice is requested
    Then the response is broken off after piece 1

  Scenario Outline: should pass on <what> of a sound stream
    Given a relay with 1 replica group of "small"
    And the first group sends "<sent>" in place of "<text>", 1 event a write
    When a stream of 10 events is requested
    Then the caller has pieces 1 to 10 in a complete response after 1 attempt
    And the response contains "<sent>"

    Examples:
      | what                      | text             | sent                           |
      | a comment before an event | id: 5\n          | : still there\nid: 5\n         |
      | a separate comment        | id: 5\n          | :\n\nid: 5\n                   |
      | an extension field        | id: 5\n          | weight-versions: 7\nid: 5\n    |
      | an event's name           | id: 5\n          | event: delta\nid: 5\n          |
      | a retry time              | id: 1\n          | retry: 500\n\nid: 1\n          |
      | a numbered end marker     | data: piece 10\n | data: piece 10\n\nid: 11\ndata: [DONE]\n |
      | an end marker             | data: piece 10\n | data: piece 10\n\ndata: [DONE]\n |
      | data of several lines     | data: piece 5\n  | data: piece 5\ndata:\ndata:x\n  |
      | an id without a space     | id: 5\n          | id:5\n                         |
      | an id after the data      | id: 5\ndata: piece 5\n | data: piece 5\nid: 5\n   |
      | lines with CR LF          | id: 5\ndata: piece 5\n\n | id: 5\r\ndata: piece 5\r\n\r\n |

  Scenario: should hold each event once, in order, in a response that ends as complete
    Then any streams with one wrong byte outside their data keep it, whatever their chunks, overlaps and cuts are

  Scenario: should complete a stream with one wrong byte when another attempt is sound
    Then any stream with one wrong byte outside its data is complete after a sound attempt

  Scenario Outline: should serve a service that <numbers>
    Given a relay with 3 replica groups of "small"
    And every group sends "<sent>" in place of "<text>"
    When a stream of 10 events is requested
    Then the caller has pieces 1 to 10 in a complete response after 2 attempts
    And the service's numbering "<numbering>" is logged
    When a stream of 10 events is requested again
    Then the caller has pieces 1 to 10 in a complete response after 1 attempt

    Examples:
      | numbers                        | text         | sent          | numbering  |
      | leaves numbers out             | id: (\d+)    | id: $10       | increasing |
      | begins at another number       | id: (\d+)    | id: 10$1      | increasing |
      | leaves one number out          | id: ([5-9]\|10)$ | id: 1$1       | increasing |
      | sends no ids                   | id: (\d+)\n  |               | opaque     |
      | sends ids that are not numbers | id: (\d+)    | id: piece-$1  | opaque     |
      | sends empty ids                | id: (\d+)    | id:           | opaque     |

  Scenario Outline: should not continue a stream <where>
    Given a relay with 3 replica groups of "small"
    And every group sends "<sent>" in place of "id: (\d+)\n"
    And a stream of 10 events is requested
    And every group resets the connection after 4 events
    When a stream of 10 events is requested again
    Then the response is broken off after piece 4

    Examples:
      | where                                          | sent       |
      | whose ids leave numbers out                    | id: $10\n  |
      | without ids                                    |            |

  Scenario: should continue streams again once a service numbers its events from 1
    Given a relay with 3 replica groups of "small"
    And every group sends "id: $10" in place of "id: (\d+)"
    And a stream of 10 events is requested
    But every group sends "id: $1" in place of "id: (\d+)"
    When a stream of 10 events is requested again
    Then the service's numbering "consecutive" is logged
    When the next group resets the connection within event 5
    When a stream of 10 events is requested again
    Then the caller has pieces 1 to 10 in a complete response after 2 attempts

  Scenario: should break off a stream of which two upstreams spoil the same id
    Given a relay with 3 replica groups of "small"
    And every group sends "id: 7" in place of "id: 1$"
    When a stream of 10 events is requested
    Then the response is broken off after piece 1
    And no numbering is logged

  Scenario: should not take one upstream's wrong id for the service's numbering
    Given a relay with 2 replica groups of "small"
    And the first group sends "id: 90" in place of "id: 5", 1 events a write
    When a stream of 10 events is requested
    Then the caller has pieces 1 to 10 in a complete response after 2 attempts
    And no numbering is logged

  Scenario: should serve a service without ids where a request must not run twice
    Given a relay with 2 replica groups of "small"
    And every group sends "" in place of "id: (\d+)\n"
    When a stream of 10 events that must not run twice is requested
    Then the caller has pieces 1 to 10 in a complete response after 1 attempt

  Scenario Outline: should continue a gateway's stream after the events that its caller has, with <what>
    Guards against a count of events that is not what the caller got.
    Given an engine that sends "<sent>" in place of "<text>" and breaks off after event 6
    When another engine continues the stream up to event 10
    Then the gateway's caller has pieces 1 to 10 in a complete response

    Examples:
      | what                          | text          | sent               |
      | a comment                     | id: 3\n       | : ping\n\nid: 3\n |
      | an id that became a line end  | id: 3\n       | id: \n\n           |
      | a spoiled end of an event     | piece 3\n\n   | piece 3\nx         |
      | a spoiled name of data        | data: piece 3 | dbta: piece 3      |
      | a wrong id                    | id: 3\n       | id: 8\n            |
      | a lost event                  | id: 3\ndata: piece 3\n\n |           |
      | lines with CR LF              | id: 3\ndata: piece 3\n\n | id: 3\r\ndata: piece 3\r\n\r\n |

  Scenario: should hold each event of an engine once, in order, in a gateway's complete response
    Then any engines' streams with one wrong byte outside their data keep it at a gateway

  Scenario: should not join a gateway's last event with the end marker
    Given an engine that sends "piece 10x\n" in place of "piece 10\n\n" and ends after event 10
    When another engine continues the stream up to event 10
    Then the gateway's caller has pieces 1 to 10 in a complete response

  Scenario: should end a gateway's stream at an end marker with an id
    Given an engine that sends "id: 11\ndata: [DONE]" in place of "data: [DONE]" and ends after event 10
    Then the gateway's caller has pieces 1 to 10 in a complete response
