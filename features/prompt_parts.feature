@prompt_parts
Feature: Prompt parts that crash engines

  A deadly part crashes each engine that begins to answer a prompt with it. No two
  prompts are alike; others share their first part or their customer. A crashed
  group serves again three seconds later.

  Scenario Outline: should stop sending new requests with a prompt part that crashes groups
    Given <relays> relays with 12 replica groups of "small"
    And the prompt part "deadly" crashes each group that begins to answer it
    When 2000 prompts arrive within 20 seconds, every 40th with the deadly part
    Then at most 3 attempts with the deadly part begin later than 3 seconds after the fifth crash
    And 90% of the sound prompts with the same first part are served from 6 seconds after it

    Examples:
      | relays |
      | 1      |
      | 5      |
      | 20     |

  Scenario: should not suspect parts of prompts that many groups lost at one moment
    Given a tracker of prompt parts
    When groups "g-1, g-2, g-3, g-4" crash at once with "first, second" in flight
    And 10 responses to other prompts begin
    Then a prompt of "first, second" is accepted

  Scenario: should not suspect parts while no response begins at all
    Given a tracker of prompt parts
    When groups "g-1, g-2, g-3, g-4" crash one after the other with "first, second" in flight
    Then a prompt of "first, second" is accepted
    When 10 responses to other prompts begin
    Then a prompt of "first, second" is refused

  Scenario: should refuse a part that takes all groups down before a response begins
    Given a tracker of prompt parts
    When groups "g-1, g-2, g-3, g-4, g-5" crash one after the other with "first" in flight
    Then a prompt of "first" is refused
    When a response to "first" begins
    Then a prompt of "first" is accepted

  Scenario: should not suspect parts to which responses begin between the crashes
    Given a tracker of prompt parts
    When groups "g-1, g-2" crash one after the other with "first, second" in flight
    And a response to "first, third" begins
    And groups "g-3, g-4" crash one after the other with "first, second" in flight
    And 10 responses to other prompts begin
    Then a prompt of "first, second" is refused
    And a prompt of "first, third" is accepted

  Scenario: should refuse a part only together with the parts that accompanied it at each crash
    Given a tracker of prompt parts
    When groups "g-1, g-2, g-3" crash one after the other with "first, second" in flight
    And 10 responses to other prompts begin
    Then a prompt of "first, second" is refused
    And a prompt of "first, third" is accepted
    And a prompt of "fourth, second" is accepted
    When group "g-4" crashes with "fourth, second" in flight
    Then a prompt of "fifth, second" is refused
    And a prompt of "fourth, third" is accepted

  Scenario: should clear bystanders once the cause of the crashes is known
    Given a tracker of prompt parts
    When groups "g-1, g-2, g-3" crash one after the other with "first, second" and "bystander" in flight
    And group "g-4" crashes with "fourth, second" in flight
    And 10 responses to other prompts begin
    And groups "g-5, g-6, g-7" crash one after the other with "fourth, second" and "late" in flight
    And 10 responses to other prompts begin
    Then a prompt of "fifth, second" is refused
    And a prompt of "late" is accepted
    And a prompt of "bystander" is accepted

  Scenario: should accept a part again as soon as a response to it begins
    Given a tracker of prompt parts
    When groups "g-1, g-2, g-3" crash one after the other with "first" in flight
    And 10 responses to other prompts begin
    Then a prompt of "first" is refused
    When a response to "first" begins
    Then a prompt of "first" is accepted
    And peers learn that "first" is sound

  Scenario: should let one request at a time probe a refused part, later after each failure
    Given a tracker of prompt parts
    When groups "g-1, g-2, g-3" crash one after the other with "first" in flight
    And 10 responses to other prompts begin
    Then no request may probe "first" within 29 seconds
    And one request may probe "first" after 31 seconds
    When group "g-4" crashes with "first" in flight
    Then no request may probe "first" within 59 seconds
    And one request may probe "first" after 61 seconds

  Scenario: should tell a relay that starts later which parts are refused
    Given 3 relays with 12 replica groups of "small"
    And the prompt part "deadly" crashes each group that begins to answer it
    When 600 prompts arrive within 6 seconds, every 40th with the deadly part
    And the relays are replaced one by one, each 2 seconds after the other
    And 600 prompts arrive within 6 seconds, every 40th with the deadly part
    Then at most 3 attempts with the deadly part begin later than 3 seconds after the fifth crash

  Scenario: should refuse a prompt part that crashes engines at the gateways as well
    Given a small cluster under load
    When 30 requests arrive that share a prompt part that crashes engines, one every second
    Then at most 8 engines have crashed
    When 20 seconds pass that are checked
    Then at least 95 percent of requests are served in time

  Scenario: should keep refusing a part however many others are suspected later
    Given a tracker of prompt parts
    When groups "g-1, g-2, g-3" crash one after the other with "first" in flight
    And 10 responses to other prompts begin
    And 1000 groups crash, each with another prompt of 200 parts in flight
    Then a prompt of "first" is refused

  Scenario: should keep memory and messages bounded when prompts have many parts
    Given a tracker of prompt parts
    When 1000 groups crash, each with another prompt of 200 parts in flight
    Then the tracker keeps at most 1024 parts
    And a datagram of 12 statuses fits into 60000 bytes
