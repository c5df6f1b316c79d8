@peer-clocks
Feature: Dates of statuses on the receiver's clock

  # Guards against reads of the store that seem younger than they are.
  Scenario Outline: should never take a status for younger than it is
    Given 3 nodes with clocks of their own and seed <seed>
    When they exchange statuses for 120 seconds, in which <what>
    Then no status seems to be younger than it is
    And statuses are dated within <ms> milliseconds for <percent> percent of the time

    Examples:
      | what                                           | seed | ms  | percent |
      | statuses arrive soon                           | 1    | 10  | 98      |
      | statuses wait up to 3 seconds to be read       | 2    | 120 | 90      |
      | most statuses wait 2 seconds and some are lost | 3    | 400 | 80      |
      | hosts are suspended                            | 4    | 60  | 70      |
      | wall clocks are set                            | 5    | 60  | 70      |
      | processes start again                          | 6    | 60  | 70      |
      | all of these happen                            | 7    | 500 | 40      |
      | all of these happen                            | 8    | 500 | 40      |

  Scenario: should not date a status of a node that doesn't know its peers' clocks
    Given 2 nodes with clocks of their own and seed 1
    When one of them receives statuses of the other, but sends none
    Then it can't date them
