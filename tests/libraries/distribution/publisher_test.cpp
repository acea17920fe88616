#include <libraries/distribution/publisher.h>

#include <gtest/gtest.h>

#include <deque>

namespace catkinlanding::distribution {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::duration message_delay = milliseconds(1);

/// A leader, a relay, and an entry instance that polls the relay first and the leader afterwards.
class change_of_publisher : public ::testing::Test {
protected:
  void SetUp() override {
    change_catalogue();
    poll_with(m_relay, m_leader);
    poll_with(m_relay, m_leader);
    poll_with(m_entry, m_relay);
    poll_with(m_entry, m_relay);
    // The relay has said that the entry instance is live, with the first revision in force.
    poll_with(m_relay, m_leader);
  }

  struct instance {
    base::instance_id id;
    subscriber::options subscriber_options;
    subscriber catalogue_subscriber{subscriber_options};
    publisher catalogue_publisher{
        {.self = id,
         .zone = {"south"},
         .incarnation = 1,
         .members = {{{"leader"}, {"south"}}, {{"relay"}, {"south"}}, {{"entry"}, {"south"}}}}};
  };

  void change_catalogue() {
    catalogue::change change;
    change.base_revision = m_document.revision();
    change.upserts.emplace_back(catalogue::model{.id = {"m"}, .stewardship = {}});
    m_document.apply(change);
    m_changes.push_back(change);
    m_leader.catalogue_subscriber.load_from_log(m_document, m_changes, m_now + seconds(60));
  }

  /// One poll and its answer.
  void poll_with(instance& from, instance& to) {
    m_now += milliseconds(600);
    effects polls;
    from.catalogue_subscriber.follow(to.id);
    auto const own = from.catalogue_subscriber.document().revision();
    from.catalogue_subscriber.tick(from.catalogue_publisher.summary(own, m_now), m_now, polls);
    ASSERT_EQ(polls.size(), 1U);
    m_now += message_delay;
    effects answers;
    to.catalogue_publisher.receive(from.id, std::get<poll>(polls.front().message),
                                   to.catalogue_subscriber, m_now + seconds(2), m_now, answers);
    ASSERT_EQ(answers.size(), 1U);
    m_now += message_delay;
    from.catalogue_subscriber.receive(to.id, std::get<update>(answers.front().message), m_now);
  }

  [[nodiscard]] zone_status zone_at_leader() const {
    auto const zones = m_leader.catalogue_publisher.zones(m_document.revision(), m_now);
    EXPECT_EQ(zones.size(), 1U);
    return zones.front();
  }

  base::monotonic_time m_now{seconds(1000)};
  catalogue::document m_document;
  std::deque<catalogue::change> m_changes;
  instance m_leader{.id = {"leader"}, .subscriber_options = {.zone = {"south"}, .incarnation = 1}};
  instance m_relay{.id = {"relay"}, .subscriber_options = {.zone = {"south"}, .incarnation = 1}};
  instance m_entry{.id = {"entry"}, .subscriber_options = {.zone = {"south"}, .incarnation = 1}};
};

// Guards against: "catalogue apply --wait" counts an instance twice that has just changed from
// another instance to the leader, and so never finds the revision in force.
TEST_F(change_of_publisher, counts_the_instance_once) {
  poll_with(m_entry, m_leader);
  poll_with(m_entry, m_leader);
  auto const zone = zone_at_leader();
  EXPECT_EQ(zone.live, 3U);
  EXPECT_EQ(zone.silent, 0U);
  EXPECT_EQ(zone.known_by_all, m_document.revision());
}

// Guards against: a change counts as in force everywhere although instances may exist that the
// settings do not name, and that nobody would miss.
TEST_F(change_of_publisher, promises_nothing_while_an_instance_outside_the_settings_is_live) {
  instance stranger{.id = {"stranger"},
                    .subscriber_options = {.zone = {"south"}, .incarnation = 1}};
  poll_with(m_entry, m_leader);
  poll_with(m_entry, m_leader);
  auto const revision = m_document.revision();
  EXPECT_TRUE(m_leader.catalogue_publisher.is_in_force_everywhere(revision, revision, m_now));
  poll_with(stranger, m_leader);
  poll_with(stranger, m_leader);
  EXPECT_FALSE(m_leader.catalogue_publisher.is_in_force_everywhere(revision, revision, m_now));
  EXPECT_EQ(zone_at_leader().live, 4U);
}

// Guards against: the former publisher's older report on the instance keeps a revision from being
// in force that the instance itself has confirmed.
TEST_F(change_of_publisher, takes_the_later_report_for_the_revision_in_force) {
  change_catalogue();
  poll_with(m_entry, m_leader);
  poll_with(m_entry, m_leader);
  poll_with(m_relay, m_leader);
  poll_with(m_relay, m_leader);
  EXPECT_TRUE(m_leader.catalogue_publisher.is_in_force_everywhere(m_document.revision(),
                                                                  m_document.revision(), m_now));
}

TEST_F(change_of_publisher, keeps_an_older_revision_in_mind_until_the_instance_reports_again) {
  change_catalogue();
  poll_with(m_relay, m_leader);
  poll_with(m_relay, m_leader);
  EXPECT_FALSE(m_leader.catalogue_publisher.is_in_force_everywhere(m_document.revision(),
                                                                   m_document.revision(), m_now));
  EXPECT_EQ(zone_at_leader().known_by_all, 1U);
}

// Guards against a catalogue that is sent into a connection which delivers nothing, with each
// answer to a poll.
TEST_F(change_of_publisher, gives_up_a_connection_that_lost_an_update) {
  poll_with(m_entry, m_leader);
  change_catalogue();
  auto const answer_to = [&](catalogue::revision held) {
    m_now += milliseconds(500);
    poll const sent{.zone = {"south"},
                    .revision = held,
                    .stamp = {.incarnation = 1, .time = m_now.time_since_epoch()}};
    effects answers;
    m_leader.catalogue_publisher.receive(m_entry.id, sent, m_leader.catalogue_subscriber,
                                         m_now + seconds(2), m_now, answers);
    return answers.front().needs_new_connection;
  };
  auto const before = m_document.revision() - 1;
  EXPECT_FALSE(answer_to(before));
  EXPECT_TRUE(answer_to(before));
  EXPECT_TRUE(answer_to(before));
  EXPECT_FALSE(answer_to(m_document.revision()));
  EXPECT_FALSE(answer_to(m_document.revision()));
}

} // namespace

} // namespace catkinlanding::distribution
