Feature: What the scheduler needs of a worker

  Background:
    Given a worker that has seen term 3

  Scenario Outline: A start is carried out or refused
    When a start of attempt 0 comes in term <term>, due by <start_by> s, of <millicores> millicores, at <now> s
    Then the worker runs attempts "<running>"
    And the refusals are "<refusals>"

    Examples:
      | term | start_by | millicores | now | running | refusals   |
      | 3    | 12       | 1000       | 11  | 0       |            |
      | 4    | 12       | 1000       | 11  | 0       |            |
      | 2    | 12       | 1000       | 11  |         | stale-term |
      | 3    | 12       | 1000       | 13  |         | late       |
      | 3    | 12       | 9000       | 11  |         | no-room    |

  Scenario: A start that comes twice runs once
    When a start of attempt 0 comes in term 3, due by 12 s, of 1000 millicores, at 11 s
    And the task is stopped in term 3 at 11.2 s
    And a start of attempt 0 comes in term 3, due by 12 s, of 1000 millicores, at 11.5 s
    Then the worker runs attempts ""
    And the ledger holds 1 run

  Scenario: A stop in a lower term is refused
    When a start of attempt 0 comes in term 4, due by 12 s, of 1000 millicores, at 11 s
    And the task is stopped in term 3 at 11.5 s
    Then the worker runs attempts "0"

  Scenario: A stop keeps the work done
    When a start of attempt 0 comes in term 3, due by 12 s, of 1000 millicores, at 11 s
    And the task is stopped in term 3 at 12.5 s
    Then the end is "stopped" with 1500 ms of work

  Scenario: A lease that is not renewed lapses
    When a start of attempt 0 comes in term 3, due by 12 s, of 1000 millicores, at 11 s
    And the worker is asked in term 3 at 22 s
    Then the end is "lapsed" with 9000 ms of work

  Scenario Outline: A renewal prolongs a lease to a fixed time
    When a start of attempt 0 comes in term 3, due by 12 s, of 1000 millicores, at 11 s
    And a renewal until 30 s comes in term <term> at <came> s
    And the worker is asked in term 3 at <asked> s
    Then the worker runs attempts "<running>"

    Examples:
      | term | came | asked | running |
      | 3    | 15   | 29    | 0       |
      | 3    | 19   | 31    |         |
      | 3    | 21   | 29    |         |
      | 2    | 15   | 29    |         |

  Scenario: An end is told until it is acknowledged
    When a start of attempt 0 comes in term 3, due by 12 s, of 1000 millicores, at 11 s
    And the task is stopped in term 3 at 12 s
    And the worker is asked in term 3 at 13 s
    Then the end is "stopped" with 1000 ms of work
    When the end is acknowledged in term 3 at 14 s
    Then no end is told
