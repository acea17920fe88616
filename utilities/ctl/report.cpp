#include <libraries/base/overloaded.h>
#include <libraries/catalogue/json.h>
#include <utilities/ctl/report.h>

#include <nlohmann/json.hpp>

#include <array>

namespace catkinlanding::ctl {

namespace {

using nlohmann::json;

constexpr std::array<char const*, 7> verdict_names{
    "accepted",  "conflict",     "id_reused",      "dangling_reference",
    "forgotten", "unsound_name", "illegal_rollout"};
constexpr std::array<char const*, 6> entry_kind_names{"customer", "class",   "model",
                                                      "version",  "service", "rollout"};
constexpr std::array<char const*, 4> role_names{"follower", "trial_candidate", "candidate",
                                                "leader"};
constexpr std::array<char const*, 7> refusal_names{
    "no_leader",       "outcome_unknown",       "overloaded",
    "already_founded", "configuration_pending", "not_a_control_instance",
    "malformed"};

template<class Names, class Enumerator>
char const* name_of(Names const& names, Enumerator value) {
  return names.at(static_cast<std::size_t>(value));
}

std::int64_t to_milliseconds(base::duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

json zones_json(std::vector<distribution::zone_status> const& zones) {
  auto array = json::array();
  for (auto const& zone : zones) {
    array.push_back({{"zone", zone.zone.value},
                     {"live", zone.live},
                     {"silent", zone.silent},
                     {"in_force", zone.in_force},
                     {"known_by_all", zone.known_by_all}});
  }
  return array;
}

json change_json(catalogue::change const& change) {
  return {{"change_id", change.id.value},
          {"base_revision", change.base_revision},
          {"author", change.author},
          {"upserts", change.upserts.size()},
          {"removals", change.removals.size()}};
}

json bill_json(billing::bill const& bill) {
  auto lines = json::array();
  for (auto const& line : bill.lines) {
    lines.push_back({{"model", line.model.value},
                     {"version", line.version.value},
                     {"service", line.service.value},
                     {"prompt_tokens", line.prompt_tokens},
                     {"completion_tokens", line.completion_tokens},
                     {"price", line.price}});
  }
  return {{"request", bill.request.value},
          {"customer", bill.customer.value},
          {"class", bill.request_class.value},
          {"answered_at_ms", bill.answered_at.time_since_epoch().count()},
          {"lines", std::move(lines)},
          {"price", bill.price()}};
}

json bills_json(std::vector<billing::bill> const& bills) {
  auto array = json::array();
  for (auto const& bill : bills) {
    array.push_back(bill_json(bill));
  }
  return array;
}

json voters_json(std::vector<consensus::voter> const& voters) {
  auto array = json::array();
  for (auto const& voter : voters) {
    array.push_back(voter.instance.value);
  }
  return array;
}

exit_code exit_code_for_change(operators::change_reply const& reply) {
  switch (reply.outcome.verdict) {
  case catalogue::change_verdict::accepted:
    return exit_code::success;
  case catalogue::change_verdict::conflict:
    return exit_code::conflict;
  case catalogue::change_verdict::id_reused:
  case catalogue::change_verdict::dangling_reference:
  case catalogue::change_verdict::unsound_name:
  case catalogue::change_verdict::illegal_rollout:
    return exit_code::refused;
  case catalogue::change_verdict::forgotten:
    return exit_code::outcome_unknown;
  }
  return exit_code::outcome_unknown;
}

json reply_json(operators::reply const& reply) {
  return std::visit(base::overloaded{
                        [](operators::change_reply const& value) {
                          json object = {
                              {"verdict", name_of(verdict_names, value.outcome.verdict)},
                              {"revision", value.outcome.revision},
                              {"in_force_everywhere", value.is_in_force_everywhere},
                              {"in_force_within_ms", to_milliseconds(value.in_force_within)},
                              {"zones", zones_json(value.zones)}};
                          if (value.outcome.culprit) {
                            object["culprit"] = value.outcome.culprit->id;
                          }
                          return object;
                        },
                        [](operators::catalogue_reply const& value) {
                          auto object = json::parse(catalogue::to_json(value.document));
                          object["revision"] = value.document.revision();
                          return object;
                        },
                        [](operators::history_reply const& value) {
                          auto array = json::array();
                          for (auto const& change : value.changes) {
                            array.push_back(change_json(change));
                          }
                          return json{{"changes", std::move(array)}};
                        },
                        [](operators::status_reply const& value) {
                          return json{{"instance", value.instance.value},
                                      {"zone", value.zone.value},
                                      {"revision", value.revision},
                                      {"has_lease", value.has_lease},
                                      {"role", name_of(role_names, value.role)},
                                      {"term", value.term},
                                      {"leader", value.leader.value},
                                      {"commit_index", value.commit_index},
                                      {"voters", voters_json(value.configuration.voters)},
                                      {"learners", voters_json(value.configuration.learners)},
                                      {"endpoints", value.endpoints},
                                      {"requests", value.requests},
                                      {"unsettled_bills", value.unsettled_bills},
                                      {"zones", zones_json(value.zones)}};
                        },
                        [](operators::bills_reply const& value) {
                          return json{{"bills", bills_json(value.bills)}};
                        },
                        [](operators::done_reply const&) {
                          return json{{"done", true}};
                        },
                        [](operators::refusal const& value) {
                          return json{{"refused", name_of(refusal_names, value.kind)}};
                        },
                    },
                    reply);
}

exit_code exit_code_for_reply(operators::reply const& reply) {
  if (auto const* change = std::get_if<operators::change_reply>(&reply)) {
    return exit_code_for_change(*change);
  }
  if (auto const* refusal = std::get_if<operators::refusal>(&reply)) {
    return refusal->kind == operators::refusal_kind::outcome_unknown ? exit_code::outcome_unknown
                                                                     : exit_code::refused;
  }
  return exit_code::success;
}

std::string table_row(std::initializer_list<std::string> cells) {
  constexpr std::size_t width = 14;
  std::string line;
  for (auto const& cell : cells) {
    line += cell + std::string(cell.size() < width ? width - cell.size() : 1, ' ');
  }
  line.resize(line.find_last_not_of(' ') + 1);
  return line + "\n";
}

std::string zones_text(std::vector<distribution::zone_status> const& zones) {
  auto text = table_row({"zone", "live", "silent", "in force", "known by all"});
  for (auto const& zone : zones) {
    text += table_row({zone.zone.value, std::to_string(zone.live), std::to_string(zone.silent),
                       std::to_string(zone.in_force), std::to_string(zone.known_by_all)});
  }
  return text;
}

std::string status_text(operators::status_reply const& value) {
  auto const remaining_lease =
      std::chrono::duration_cast<std::chrono::milliseconds>(value.lease_left);
  auto text = table_row({"instance", value.instance.value});
  text += table_row({"zone", value.zone.value});
  text += table_row({"revision", std::to_string(value.revision)});
  text += table_row(
      {"lease", value.has_lease ? std::to_string(remaining_lease.count()) + " ms left" : "none"});
  text += table_row({"role", name_of(role_names, value.role)});
  text += table_row({"leader", value.leader.is_empty() ? "unknown" : value.leader.value});
  text += table_row({"voters", voters_json(value.configuration.voters).dump()});
  text += table_row({"endpoints", std::to_string(value.endpoints)});
  text += table_row({"requests", std::to_string(value.requests)});
  text += table_row({"bills", std::to_string(value.unsettled_bills) + " unsettled"});
  return value.zones.empty() ? text : text + "\n" + zones_text(value.zones);
}

std::string history_text(operators::history_reply const& value) {
  auto text = table_row({"revision", "author", "upserts", "removals", "change id"});
  for (auto const& change : value.changes) {
    text += table_row({std::to_string(change.base_revision + 1), change.author,
                       std::to_string(change.upserts.size()),
                       std::to_string(change.removals.size()), change.id.value});
  }
  return text;
}

std::string change_text(operators::change_reply const& value) {
  auto text = std::string(name_of(verdict_names, value.outcome.verdict)) + ", revision " +
              std::to_string(value.outcome.revision);
  if (value.outcome.culprit) {
    text += ", " + std::string(name_of(entry_kind_names, value.outcome.culprit->kind)) + " " +
            value.outcome.culprit->id;
  }
  text += value.is_in_force_everywhere ? ", in force everywhere\n" : "\n";
  return value.zones.empty() ? text : text + "\n" + zones_text(value.zones);
}

std::string bills_text(std::vector<billing::bill> const& bills) {
  std::string text;
  for (auto const& bill : bills) {
    text += bill_json(bill).dump() + "\n";
  }
  return text;
}

} // namespace

report make_report(merged_ledgers const& merged, bool is_json) {
  auto const code = merged.has_majority() ? exit_code::success : exit_code::incomplete;
  if (!is_json) {
    return {.text = bills_text(merged.bills), .code = code};
  }
  auto answered_voters = json::array();
  for (auto const& ledger : merged.answered_voters) {
    answered_voters.push_back(ledger.value);
  }
  json const object = {{"bills", bills_json(merged.bills)},
                       {"answered", std::move(answered_voters)},
                       {"ledgers", merged.voter_count},
                       {"has_majority", merged.has_majority()}};
  return {.text = object.dump() + "\n", .code = code};
}

report make_report(operators::reply const& reply, bool is_json) {
  auto const code = exit_code_for_reply(reply);
  if (is_json) {
    return {.text = reply_json(reply).dump() + "\n", .code = code};
  }
  auto text =
      std::visit(base::overloaded{
                     [](operators::status_reply const& value) { return status_text(value); },
                     [](operators::history_reply const& value) { return history_text(value); },
                     [](operators::change_reply const& value) { return change_text(value); },
                     [](operators::bills_reply const& value) { return bills_text(value.bills); },
                     [&](auto const&) {
                       constexpr int indent = 2;
                       return reply_json(reply).dump(indent) + "\n";
                     },
                 },
                 reply);
  return {.text = std::move(text), .code = code};
}

std::string difference_text(catalogue_difference const& difference, catalogue::revision revision,
                            bool is_json) {
  json object = {{"revision", revision},
                 {"added", json::array()},
                 {"changed", json::array()},
                 {"missing", json::array()}};
  std::string text;
  auto const add_entry = [&](char const* list, char const* marker,
                             catalogue::entry_reference const& reference) {
    auto const name = std::string(name_of(entry_kind_names, reference.kind)) + " " + reference.id;
    object[list].push_back(name);
    text += std::string(marker) + " " + name + "\n";
  };
  for (auto const& entry : difference.added) {
    add_entry("added", "+", catalogue::reference_to(entry));
  }
  for (auto const& entry : difference.changed) {
    add_entry("changed", "~", catalogue::reference_to(entry));
  }
  for (auto const& reference : difference.missing) {
    add_entry("missing", "-", reference);
  }
  if (is_json) {
    return object.dump() + "\n";
  }
  return text.empty() ? "no difference to revision " + std::to_string(revision) + "\n" : text;
}

} // namespace catkinlanding::ctl
