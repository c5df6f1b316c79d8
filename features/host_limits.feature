@host_limits
Feature: Rate limits that hosts name in responses

  Scenario Outline: should not send a host more requests than it names when <nodes> nodes send them
    Given <nodes> nodes before 10 replica groups, of which 6 name a limit of 5 requests per second
    When 120 requests per second arrive for 12 seconds
    Then from 3 seconds on, no host got more than 35 requests in 4 seconds after it named its limit
    And at least 95 percent of the requests are sent

    Examples:
      | nodes |
      | 1     |
      | 5     |
      | 20    |

  Scenario: should keep to a limit while nodes restart
    Given 5 nodes before 10 replica groups, of which 6 name a limit of 5 requests per second
    When 120 requests per second arrive for 12 seconds, while a node is replaced every 3 seconds
    Then from 3 seconds on, no host got more than 35 requests in 4 seconds after it named its limit

  Scenario: should use a host fully again when it names no limit any more
    Given 5 nodes before 1 replica group, of which 1 names a limit of 5 requests per second
    When 20 requests per second arrive for 6 seconds
    And the hosts name no limit, and 20 requests per second arrive for 12 seconds
    Then at least 95 percent of the requests of the last 4 seconds are sent

  Scenario: should reject at once what no host takes
    Given 1 node before 1 replica group, of which 1 names a limit of 5 requests per second
    When 60 requests per second arrive for 8 seconds
    Then each request that was not sent was rejected as not run within 100 milliseconds

  Scenario Outline: should <apply> a peer's notice of a limit when messages are <fresh>
    When a peer's notice that a host takes no request arrives in a <fresh> message
    Then the host may <get> requests

    Examples:
      | apply      | fresh | get |
      | apply      | fresh | not get |
      | not apply  | stale | get |

  Scenario Outline: should read a limit of "<text>" as <limit>
    When a response names a limit of "<text>"
    Then the limit is <limit>

    Examples:
      | text  | limit     |
      | 4.5   | 4.5       |
      | 0     | 0         |
      | 1e3   | malformed |
      | -1    | malformed |
      | many  | malformed |
      | 4, 5  | malformed |
