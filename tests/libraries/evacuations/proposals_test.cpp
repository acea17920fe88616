#include <libraries/evacuations/proposals.h>

#include <gtest/gtest.h>

namespace catkinlanding::evacuations {

namespace {

base::availability_zone_id const zone{"x"};

class proposed_orders : public testing::Test {
protected:
  proposed_orders() { m_proposals.update(1, m_table); }

  order propose(bool is_out_of_use, base::availability_zone_id const& of = zone) {
    auto const made = m_proposals.make_order(of, is_out_of_use, m_table);
    EXPECT_TRUE(made.has_value());
    m_proposals.note_proposed(*made);
    return *made;
  }

  void apply(order const& committed) {
    m_table.record(committed);
    m_proposals.update(1, m_table);
  }

  zone_table m_table;
  proposals m_proposals;
};

// Guards against two orders in the log with one number: the second one had no effect.
TEST_F(proposed_orders, get_a_higher_number_than_those_before) {
  auto const first = propose(true);
  auto const second = propose(false);
  auto const third = propose(true);
  EXPECT_LT(first.number, second.number);
  EXPECT_LT(second.number, third.number);
  EXPECT_TRUE(takes_out_of_use(third.number));
}

TEST_F(proposed_orders, of_different_zones_have_different_numbers) {
  EXPECT_NE(propose(true).number, propose(true, {"y"}).number);
}

TEST_F(proposed_orders, are_repeated_under_their_number) {
  auto const first = propose(true);
  EXPECT_EQ(propose(true), first);
}

TEST_F(proposed_orders, are_pending_until_they_are_applied) {
  auto const first = propose(true);
  EXPECT_TRUE(m_proposals.is_pending(zone));
  apply(first);
  EXPECT_FALSE(m_proposals.is_pending(zone));
}

// Guards against orders of a lost term that hold up later ones, as they may never be committed.
TEST_F(proposed_orders, are_forgotten_when_the_term_ends) {
  propose(true);
  m_proposals.update(2, m_table);
  EXPECT_FALSE(m_proposals.is_pending(zone));
  EXPECT_EQ(propose(true).number, 1U);
}

// Guards against a number below the one that a build without zones has stored: a zone that the
// table forgot would not be taken out of use there.
TEST_F(proposed_orders, get_a_higher_number_than_all_zones_have) {
  apply({.zone = {"y"}, .number = 500});
  EXPECT_EQ(propose(true).number, 501U);
}

TEST_F(proposed_orders, are_refused_beyond_the_bound) {
  for (std::size_t i = 0; i < zone_table::max_zones; ++i) {
    propose(true, {std::to_string(i)});
  }
  EXPECT_FALSE(m_proposals.make_order(zone, true, m_table).has_value());
}

} // namespace

} // namespace catkinlanding::evacuations
