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
