#include <libraries/limits/admission.h>

#include <gtest/gtest.h>

namespace catkinlanding::limits {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time now{1h};

admission::work work(std::uint64_t number) {
  return {.number = number,
          .customer = {"guild"},
          .request_class = {"interactive"},
          .priority = 0,
          .arrived_at = now,
          .due = now + 20s};
}

TEST(admission, admits_everything_before_the_first_request_has_ended) {
  admission admission({});
  for (std::uint64_t number = 1; number <= 10; ++number) {
    ASSERT_FALSE(admission.refuse(work(number), now).has_value()) << number;
    admission.wait(work(number), now);
  }
}

TEST(admission, refuses_requests_whose_wait_and_work_exceed_their_time) {
  admission admission({});
  admission.finished({"interactive"}, 5s);
  admission.wait(work(1), now);
  admission.wait(work(2), now);
  admission.wait(work(3), now);
  // Three times 5 s of waiting and 5 s of work are just the 20 s that the caller has.
  EXPECT_FALSE(admission.refuse(work(4), now).has_value());
  admission.wait(work(4), now);
  EXPECT_TRUE(admission.refuse(work(5), now).has_value());
}

// Guards against a class that is refused for ever, as no request of it ends that could show that
// its work takes less time by now.
TEST(admission, lets_a_request_in_that_shows_how_long_the_work_takes_now) {
  admission admission({});
  admission.finished({"interactive"}, 30s);
  admission.wait(work(1), now);
  ASSERT_TRUE(admission.refuse(work(2), now).has_value());
  EXPECT_FALSE(admission.would_miss_deadline(work(1), now));
  admission.leave(1);
  EXPECT_FALSE(admission.refuse(work(3), now).has_value());
}

// Guards against a refusal by a guess of how long the work takes.
TEST(admission, lets_requests_of_an_unknown_class_in) {
  admission admission({});
  admission.finished({"interactive"}, 5s);
  auto unknown = work(1);
  unknown.request_class = {"report"};
  unknown.due = now + 1ms;
  EXPECT_FALSE(admission.refuse(unknown, now).has_value());
}

// Guards against an estimate that only grows: who fits is refused while waits are shorter than the
// work before them lets expect.
TEST(admission, learns_that_waits_are_shorter_than_expected) {
  admission admission({});
  admission.finished({"interactive"}, 1s);
  auto time = now;
  std::uint64_t number = 0;
  for (int round = 0; round < 200; ++round) {
    time += 1h;
    auto const first = number + 1;
    for (int i = 0; i < 5; ++i) {
      admission.wait(work(++number), time);
    }
    for (auto one = first; one <= number; ++one) {
      ASSERT_EQ(admission.next(), one);
      admission.started(work(one), time + 500ms);
      admission.leave(one);
    }
  }
  time += 1h;
  for (int i = 0; i < 5; ++i) {
    admission.wait(work(++number), time);
  }
  auto request = work(++number);
  request.arrived_at = time;
  request.due = time + 3s;
  EXPECT_FALSE(admission.refuse(request, time).has_value());
}

} // namespace

} // namespace catkinlanding::limits
