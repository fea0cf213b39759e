Feature: What is needed of the platform's log

  Scenario: Appends get offsets in one order for all readers
    When three records are appended
    Then two readers read them at offsets 0, 1 and 2 in that order

  Scenario: A read says what is kept and what comes next
    When three records are appended
    And the first two pass retention
    Then a read from 0 starts at 2 and names 3 as next

  Scenario: An append without an answer may have taken effect
    Given the log loses the next answer
    When a record is appended
    Then the append failed and may have acted
    And a read finds 1 record

  Scenario: An outage is a failure and not an empty page
    Given the log is down
    When a record is appended
    Then the append failed
    And a read fails

  Scenario: A payload over the limit is refused whole
    Given the log takes 10 bytes at most
    When a record is appended
    Then the append failed and did not act
    And a read finds 0 records

  Scenario: A read with nothing new waits and then answers
    Then a read that waits 50 ms finds 0 records

  Scenario: An answer that is no offset is a failure
    Given the log garbles the next answer
    When a record is appended
    Then the append failed and may have acted
