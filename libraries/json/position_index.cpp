#include <libraries/json/position_index.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <vector>

namespace catkinlanding::json {

namespace {

/// Reads a text and counts what was read of it.
class counting_iterator {
public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = char const*;
  using reference = char const&;

  counting_iterator(char const* at, std::size_t* count) : m_at(at), m_count(count) {}

  reference operator*() const { return *m_at; }
  counting_iterator& operator++() {
    ++m_at;
    ++*m_count;
    return *this;
  }
  bool operator==(counting_iterator const& other) const { return m_at == other.m_at; }
  bool operator!=(counting_iterator const& other) const { return m_at != other.m_at; }

private:
  char const* m_at;
  std::size_t* m_count;
};

/// Follows the parser and notes how far it has read when it meets each field.
class recorder : public nlohmann::json_sax<nlohmann::json> {
public:
  recorder(std::string_view text, std::map<std::string, std::size_t>& offsets)
      : m_text(text), m_offsets(offsets) {}

  [[nodiscard]] std::size_t* count() { return &m_count; }

  bool null() override { return scalar(); }
  bool boolean(bool /*value*/) override { return scalar(); }
  bool number_integer(number_integer_t /*value*/) override { return scalar(); }
  bool number_unsigned(number_unsigned_t /*value*/) override { return scalar(); }
  bool number_float(number_float_t /*value*/, string_t const& /*text*/) override {
    return scalar();
  }
  bool string(string_t& /*value*/) override { return scalar(); }
  bool binary(binary_t& /*value*/) override { return scalar(); }
  bool start_object(std::size_t /*size*/) override { return open(false); }
  bool start_array(std::size_t /*size*/) override { return open(true); }
  bool end_object() override { return close(); }
  bool end_array() override { return close(); }
  bool key(string_t& name) override {
    auto& top = m_open.back();
    top.field = top.path + "/" + name;
    m_offsets.try_emplace(top.field, start_of_string());
    return true;
  }
  bool parse_error(std::size_t /*position*/, std::string const& /*token*/,
                   nlohmann::detail::exception const& /*error*/) override {
    return false;
  }

private:
  struct container {
    std::string path;
    bool is_array = false;
    std::size_t next = 0;
    /// Path of the field whose value comes next, in an object.
    std::string field;
  };

  [[nodiscard]] std::size_t last_read() const { return m_count == 0 ? 0 : m_count - 1; }

  /// The opening quote of the string that was read last.
  [[nodiscard]] std::size_t start_of_string() const {
    auto at = m_text.rfind('"', last_read());
    do {
      at = at == 0 ? std::string_view::npos : m_text.rfind('"', at - 1);
    } while (at != std::string_view::npos && at > 0 && m_text[at - 1] == '\\');
    return at == std::string_view::npos ? 0 : at;
  }

  /// Path of the value that was read last.
  std::string enter() {
    if (m_open.empty()) {
      return "";
    }
    auto& top = m_open.back();
    if (!top.is_array) {
      return top.field;
    }
    auto path = top.path + "/" + std::to_string(top.next++);
    m_offsets.try_emplace(path, last_read());
    return path;
  }

  bool scalar() {
    enter();
    return true;
  }

  bool open(bool is_array) {
    m_open.push_back({.path = enter(), .is_array = is_array, .next = 0, .field = {}});
    return true;
  }

  bool close() {
    m_open.pop_back();
    return true;
  }

  std::string_view m_text;
  std::map<std::string, std::size_t>& m_offsets;
  std::vector<container> m_open;
  std::size_t m_count = 0;
};

} // namespace

position position_at(std::string_view text, std::size_t offset) {
  auto const before = text.substr(0, std::min(offset, text.size()));
  auto const lines = std::ranges::count(before, '\n');
  auto const line_start = before.rfind('\n');
  auto const column =
      line_start == std::string_view::npos ? before.size() : before.size() - line_start - 1;
  return {.line = static_cast<std::size_t>(lines) + 1, .column = column + 1};
}

position_index::position_index(std::string_view text) : m_text(text) {
  recorder recorder(text, m_offsets);
  counting_iterator const first(text.data(), recorder.count());
  counting_iterator const last(text.data() + text.size(), recorder.count());
  nlohmann::json::sax_parse(first, last, &recorder, nlohmann::json::input_format_t::json,
                            /*strict=*/true, /*ignore_comments=*/true);
}

position position_index::find(std::string path) const {
  while (!path.empty()) {
    if (auto const it = m_offsets.find(path); it != m_offsets.end()) {
      return position_at(m_text, it->second);
    }
    path.resize(path.rfind('/'));
  }
  return {};
}

} // namespace catkinlanding::json
