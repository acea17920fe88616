#include <services/daemon/connections/places.h>

#include <gtest/gtest.h>

#include <optional>
#include <vector>

namespace catkinlanding::daemon::connections {

namespace {

/// Connections of one server, without peers.
class connection_places : public ::testing::Test {
protected:
  struct connection {
    connection(connection_places& all, bool has_place)
        : stream(all.m_context), entry(all.m_open, stream), place(all.m_places, entry, has_place) {}

    tcp_stream stream;
    open_connections::entry entry;
    places::holder place;
    /// How its wait for a place ended.
    std::optional<bool> ended;
  };

  /// Lets a connection come, and begins its wait.
  std::unique_ptr<connection> come() {
    auto made = std::make_unique<connection>(*this, m_places->make_place());
    spawn(m_context, "test", wait(*made));
    m_context.restart();
    m_context.poll();
    return made;
  }

  /// One whose request is in flight.
  std::unique_ptr<connection> come_and_be_served() {
    auto made = come();
    made->entry.serve();
    return made;
  }

  static awaitable<void> wait(connection& one) { one.ended = co_await one.place.wait(); }

  void run_ready() {
    m_context.restart();
    m_context.poll();
  }

  static constexpr std::size_t max_places = 2;

  boost::asio::io_context m_context;
  std::shared_ptr<open_connections> m_open =
      std::make_shared<open_connections>(m_context, open_connections::options{.server = "test"});
  std::shared_ptr<places> m_places = std::make_shared<places>(m_context, m_open, max_places);
};

TEST_F(connection_places, are_taken_at_once_while_there_are_some) {
  auto const first = come_and_be_served();
  auto const second = come_and_be_served();
  EXPECT_EQ(first->ended, true);
  EXPECT_EQ(second->ended, true);
}

TEST_F(connection_places, go_to_those_who_have_waited_longest) {
  auto const first = come_and_be_served();
  auto second = come_and_be_served();
  auto const third = come();
  auto const fourth = come();
  EXPECT_FALSE(third->ended || fourth->ended);
  EXPECT_TRUE(first->place.give_way());
  run_ready();
  EXPECT_EQ(third->ended, true);
  EXPECT_FALSE(fourth->ended);
  // The first one still counts, so its place isn't given away twice.
  second.reset();
  run_ready();
  EXPECT_FALSE(fourth->ended);
}

TEST_F(connection_places, are_given_back_with_the_connection) {
  auto const first = come_and_be_served();
  auto second = come_and_be_served();
  auto const third = come();
  second.reset();
  run_ready();
  EXPECT_EQ(third->ended, true);
  EXPECT_FALSE(first->place.give_way());
}

TEST_F(connection_places, are_waited_for_a_moment) {
  auto const first = come_and_be_served();
  auto const second = come_and_be_served();
  auto const third = come();
  m_context.restart();
  while (!third->ended) {
    m_context.run_one();
  }
  EXPECT_EQ(third->ended, false);
  EXPECT_FALSE(first->place.give_way());
}

TEST_F(connection_places, are_waited_for_by_a_few) {
  auto const first = come_and_be_served();
  auto const second = come_and_be_served();
  std::vector<std::unique_ptr<connection>> others;
  while (m_places->may_wait()) {
    others.push_back(come());
  }
  EXPECT_FALSE(others.front()->ended);
  EXPECT_EQ(others.back()->ended, false);
}

// Guards against connections beyond the limit that give way to each other.
TEST_F(connection_places, are_not_made_by_those_who_have_none) {
  auto const first = come_and_be_served();
  auto const second = come_and_be_served();
  auto const third = come();
  third->entry.begin(resources::connection_phase::reading);
  EXPECT_FALSE(m_places->make_place());
}

} // namespace

} // namespace catkinlanding::daemon::connections
