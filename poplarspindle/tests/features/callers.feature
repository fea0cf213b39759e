Feature: What callers may rely on

  Background:
    Given two entries and two minions

  Scenario: A ticket runs at most once
    Given a ticket of the first entry
    When the ticket is sent to the first entry
    And the ticket is sent to the first entry
    Then both answers are the same whole answer
    And the request ran once

  Scenario: A ticket sent through another entry runs at its minter
    Given a ticket of the first entry
    When the ticket is sent to the second entry
    Then the last outcome is "answered"
    And the request ran once

  Scenario: A ticket sent again with another body is refused
    Given a ticket of the first entry
    When the ticket is sent to the first entry
    And the ticket is sent with another body to the second entry
    Then the last outcome is "unknown"
    And the last reason is "different-content"
    And the request ran once

  Scenario: A chosen id sent to both entries runs once
    Given a chosen id
    When the ticket is sent to the first entry
    And the ticket is sent to the second entry
    Then both answers are the same whole answer
    And the request ran once

  Scenario: An id that was never handed out does not run
    Given an id with a number never handed out by the first entry
    When the ticket is sent to the second entry
    Then the last outcome is "not-run"
    And the last reason is "never-minted"
    And the request ran 0 times

  Scenario: Any entry tells what happened to a request
    Given a ticket of the first entry
    When the ticket is sent to the first entry
    Then the second entry traces the request as "answered"
