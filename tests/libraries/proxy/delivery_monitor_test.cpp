#include <libraries/proxy/delivery_monitor.h>

#include <gtest/gtest.h>

namespace catkinlanding::proxy {

namespace {

using namespace std::chrono_literals;

constexpr base::monotonic_time start{};

known_state state(std::uint64_t document, std::uint64_t registry, std::uint64_t term = 1) {
  return {.document_revision = document, .registry_term = term, .registry_revision = registry};
}

// Guards against a document that is sent into a dead connection again and again.
TEST(delivery_monitors, take_a_state_for_lost_that_is_not_held_in_time) {
  delivery_monitor monitor({.timeout = 500ms});
  monitor.note_sent(state(2, 1), start);
  monitor.note_known(state(1, 1));
  EXPECT_FALSE(monitor.try_take_loss(start + 499ms));
  EXPECT_TRUE(monitor.try_take_loss(start + 500ms));
  EXPECT_FALSE(monitor.try_take_loss(start + 501ms));
}

// Guards against a new connection for each change of a registry that changes all the while.
TEST(delivery_monitors, are_content_with_progress) {
  delivery_monitor monitor({.timeout = 500ms});
  for (std::uint64_t revision = 1; revision < 100; ++revision) {
    auto const now = start + revision * 100ms;
    monitor.note_sent(state(1, revision), now);
    monitor.note_known(state(1, revision > 3 ? revision - 3 : 0));
    EXPECT_FALSE(monitor.try_take_loss(now)) << revision;
  }
}

// Guards against a lost document that goes unnoticed while the registry advances, or one before it
// has just arrived.
TEST(delivery_monitors, watch_each_revision_by_itself) {
  delivery_monitor monitor({.timeout = 500ms});
  monitor.note_sent(state(2, 1), start);
  monitor.note_sent(state(3, 1), start + 100ms);
  for (std::uint64_t revision = 2; revision < 6; ++revision) {
    auto const now = start + revision * 100ms;
    monitor.note_sent(state(2, revision), now);
    monitor.note_known(state(2, revision));
    EXPECT_FALSE(monitor.try_take_loss(now)) << revision;
  }
  EXPECT_TRUE(monitor.try_take_loss(start + 600ms));
}

// Guards against a connection that is given up although nothing went over it.
TEST(delivery_monitors, watch_only_what_is_new_to_the_instance) {
  delivery_monitor monitor({.timeout = 500ms});
  monitor.note_known(state(2, 5));
  monitor.note_sent(state(2, 5), start);
  EXPECT_FALSE(monitor.try_take_loss(start + 10s));
}

// Guards against a loss that a new leader sees in the numbers of the one before.
TEST(delivery_monitors, do_not_compare_registries_of_two_terms) {
  delivery_monitor monitor({.timeout = 500ms});
  monitor.note_sent(state(2, 5), start);
  monitor.note_known(state(2, 1, 2));
  EXPECT_FALSE(monitor.try_take_loss(start + 10s));
}

// Guards against a connection that is given up because an instance has started anew.
TEST(delivery_monitors, forget_what_a_former_process_was_sent) {
  delivery_monitor monitor({.timeout = 500ms});
  monitor.note_sent(state(2, 5), start);
  monitor.reset();
  EXPECT_FALSE(monitor.try_take_loss(start + 10s));
}

} // namespace

} // namespace catkinlanding::proxy
