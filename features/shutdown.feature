@shutdown
Feature: Shutdown of a node process

  # Guards against a process that exits at a repeated signal, without the
  # responses to the orders that hosts are running.
  Scenario: should answer orders in flight when SIGTERM is sent again
    Given a node process and hosts that respond after 1500 milliseconds
    When orders are in flight as SIGTERM is sent 3 times, 300 milliseconds apart
    Then every order receives its complete response
    And the process then exits with code 0
