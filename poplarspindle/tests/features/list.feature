Feature: What is needed of the platform's instance list

  Scenario: What an instance announced is listed
    When scheduler s1 announces itself
    Then the list shows s1 as live

  Scenario: An instance that leaves is shown as leaving
    When scheduler s1 announces itself
    And s1 announces that it leaves
    Then the list shows s1 as leaving

  Scenario: Entries that are none of ours are passed over
    When scheduler s1 announces itself
    And the list holds an entry of an unknown form
    Then the list shows s1 as live

  Scenario: An unchanged list is not sent again
    When scheduler s1 announces itself
    Then a second reading finds the same though nothing is sent again

  Scenario: An outage is a failure and not an empty list
    When scheduler s1 announces itself
    And the list is down
    Then reading the list fails
