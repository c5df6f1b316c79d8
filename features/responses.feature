@responses
Feature: Responses of hosts in trouble

  Responses that can't be forwarded cost a bounded amount of memory and time. The
  first group or host is the one that gets the first attempt.

  Scenario Outline: should not wait for the end of a response <response>
    Given a relay before a host that responds <response> and 2 sound hosts
    When 2 requests that are <kind> are sent to the first host
    Then each caller has a complete response within <ms> milliseconds
    And the process has grown by less than 48 MB
    And the first host's connections are closed

    Examples:
      | response                  | kind           | ms   |
      | "endless refusal"         | not repeatable | 500  |
      | "refusal that stops"      | not repeatable | 500  |
      | "endless failure"         | repeatable     | 500  |
      | "failure that stops"      | repeatable     | 700  |
      | "endless interim heads"   | repeatable     | 500  |
      | "endless head"            | repeatable     | 500  |
      | "endless reason"          | repeatable     | 500  |
      | "endless chunk extension" | repeatable     | 500  |

  Scenario Outline: should not send a request elsewhere that may have run, on a response <response>
    Given a relay before a host that responds <response> and 2 sound hosts
    When 2 requests that are not repeatable are sent to the first host
    Then each caller gets "upstream_failed" within 800 milliseconds
    And the process has grown by less than 48 MB
    And the first host's connections are closed

    Examples:
      | response                  |
      | "endless failure"         |
      | "stale refusal first"     |
      | "endless interim heads"   |
      | "endless head"            |
      | "endless reason"          |
      | "endless chunk extension" |

  Scenario Outline: should not take a late <write> for an earlier request as the rest of a body
    Given a relay before one host
    And the host writes a late <write> 15 milliseconds after its first response
    And its second response has status <status> and stops within its body of 60 bytes
    When two requests are sent on one connection, one right after the other
    Then the first caller has a complete response
    And the second caller gets "<outcome>" and no byte of the late write

    Examples:
      | write   | status | outcome         |
      | copy    | 500    | upstream_failed |
      | copy    | 200    | upstream_failed |
      | refusal | 500    | upstream_failed |
      | refusal | 200    | upstream_failed |
      | version | 500    | upstream_failed |
      | version | 200    | upstream_failed |
      | status  | 500    | upstream_failed |
      | status  | 200    | upstream_failed |

  Scenario Outline: should show callers only what a host completed for their request, seed <seed>
    When 4 callers send 12 requests each to hosts with the responses of seed <seed>
    Then every caller received what the rules allow

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |

  Scenario: should never join a large response that broke off to its retry
    Given a relay with 2 hosts of the counter service
    And the first host sends 300000 bytes of its response, then resets the connection
    When an order is looked up
    Then the response is aborted after 1 attempt

  Scenario: should not take a stream that ends before its first event for a response
    Given a relay with 2 replica groups of "small"
    And the first group ends its stream after 0 events
    When a stream of 10 events is requested
    Then the caller has events 1 to 10 and a complete response after 2 attempts

  Scenario Outline: should continue a stream elsewhere when its group sends only <bytes>s
    Given a relay with 2 replica groups of "small"
    And the first group sends only a <bytes> now and then after 4 events
    When a stream of 10 events is requested
    Then the caller has events 1 to 10 and a complete response after 2 attempts

    Examples:
      | bytes   |
      | byte    |
      | comment |

  Scenario: should continue a stream elsewhere when it stalls alone on a busy group
    Given a relay with 1 replica group of "small"
    And the first group pauses its first stream for 60000 milliseconds after 4 events
    When a stream of 100 events is requested on a group that serves others, and a second group opens
    Then the caller has events 1 to 100 and a complete response after 2 attempts of its own

  Scenario: should not cut a slow stream that makes progress
    Given a relay with 1 replica group of "small"
    And the first group pauses its first stream for 900 milliseconds after 4 events
    When a stream of 100 events is requested on a group that serves others, and a second group opens
    Then the caller has events 1 to 100 and a complete response after 1 attempt of its own

  Scenario: should not count an attempt as in flight after a response without a head
    Given a relay before a host that responds "whole" and 0 sound hosts
    When 2 requests that are repeatable are sent to the first host
    Then no attempt is in flight
