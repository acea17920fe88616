#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

#include <algorithm>
#include <cstdint>
#include <string>

namespace catkinlanding::daemon::connections {

/// The body of a request that is being read. Unlike the HTTP library's own text body it takes no
/// memory for the length that the header states, but only as the bytes arrive.
struct arriving_body {
  using value_type = std::string;

  class reader {
  public:
    template<bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>& /*header*/, value_type& body)
        : m_body(body) {}

    void init(boost::optional<std::uint64_t> const& length, boost::beast::error_code& error) {
      m_length = length;
      error = {};
    }

    template<class Buffers>
    std::size_t put(Buffers const& buffers, boost::beast::error_code& error) {
      auto const size = boost::asio::buffer_size(buffers);
      grow(m_body.size() + size);
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        boost::asio::const_buffer const piece(*it);
        m_body.append(static_cast<char const*>(piece.data()), piece.size());
      }
      error = {};
      return size;
    }

    void finish(boost::beast::error_code& error) { error = {}; }

  private:
    /// The text doubles until its growth reaches this size.
    static constexpr std::size_t max_step = 512UL * 1024;

    void grow(std::size_t needed) {
      if (needed <= m_body.capacity()) {
        return;
      }
      auto const step = std::min(m_body.capacity(), max_step);
      auto const wanted = std::max(needed, m_body.capacity() + step);
      auto const most = m_length ? static_cast<std::size_t>(*m_length) : wanted;
      m_body.reserve(std::max(needed, std::min(wanted, most)));
    }

    value_type& m_body;
    boost::optional<std::uint64_t> m_length;
  };
};

} // namespace catkinlanding::daemon::connections
