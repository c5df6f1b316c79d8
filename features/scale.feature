@scale
Feature: Decisions that stay cheap and right as the fleet grows

  Scenario Outline: should keep <index> as a walk over the fleet would find them
    When <index> are compared with a walk after each of 1500 random changes
    Then they never differed

    Examples:
      | index                |
      | the groups           |
      | the sums of loads    |
      | the queued requests  |

  Scenario: should ask the hosts of broken groups and the spares first when the lease changes hands
    Given 1000 hosts, of which 8 are in a broken group and 4 are free
    When a node gains the lease, and each report takes 20 milliseconds
    Then the hosts of the broken group and then the free ones are asked first
    And at most 48 reports are requested at once
    And the state of every host is known after 500 milliseconds

  Scenario: should leave hosts alone whose reports a new leader has not seen
    Given a fleet whose groups serve, and whose hosts report to a new leader after 3 seconds
    When a host of a group is lost and the new leader has acted for 2 seconds
    Then it has dissolved no group and sent no command
    When the new leader has acted for 2 more seconds
    Then it has dissolved a group

  Scenario Outline: should count a host without a reply as <state> when the event loop was <lag> milliseconds behind
    When a host doesn't reply to a report request while the event loop is <lag> milliseconds behind
    Then the host counts as <state>

    Examples:
      | lag | state  |
      | 0   | silent |
      | 300 | usable |

  Scenario: should measure how far the event loop is behind
    Given a loop monitor
    When the event loop is blocked for 250 milliseconds
    Then a lag of 150 milliseconds is known for work that began before, and none for later work

  Scenario: should leave time for requests when a reconciliation takes long
    Given a fleet whose reconciliations each take 50 milliseconds
    When 10 seconds pass with a change of a host every 20 milliseconds
    Then reconciliations took at most 2500 milliseconds in all

  Scenario Outline: should send <sent> requests of callers that <callers> while the event loop was behind
    Given a relay whose event loop was 400 milliseconds behind
    When 20 streams are requested by callers that <callers>
    Then <sent> of them are sent

    Examples:
      | callers     | sent |
      | have left   | 0    |
      | still wait  | 20   |

  Scenario: should not give hosts more time than callers have left when the event loop was behind
    Given a relay whose event loop was 400 milliseconds behind
    When 20 streams are requested by callers that still wait
    Then the hosts are given at most 4600 milliseconds
