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
