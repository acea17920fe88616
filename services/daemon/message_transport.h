#pragma once

#include <services/daemon/frame_transport.h>

#include <boost/asio/post.hpp>

namespace catkinlanding::daemon {

/// Sends and receives the messages of one protocol between instances. `Encode` serializes an
/// envelope, and `Decode` parses one.
template<class Envelope, std::string (*Encode)(Envelope const&), auto Decode>
class message_transport {
public:
  using message = decltype(Envelope::message);
  using handler = std::function<void(base::instance_id const& from, message message)>;
  using sockets = frame_transport::sockets;

  struct identity {
    base::instance_id self;
    /// Differs at each start of the process.
    std::uint64_t incarnation = 0;
  };

  message_transport(boost::asio::io_context& context, identity identity, sockets sockets,
                    std::map<base::instance_id, base::address> const& peers, handler on_message,
                    resources::peer_plan const& bounds)
      : m_context(context), m_identity(std::move(identity)), m_on_message(std::move(on_message)),
        m_frames(
            context, std::move(sockets), peers,
            [this](std::string_view bytes, frame_transport::sender_callback const& report_sender) {
              return deliver(bytes, report_sender);
            },
            bounds) {}

  /// `needs_new_connection` says that a connection which is open may lose what it takes.
  void send(base::instance_id const& to, message message, bool needs_new_connection = false) {
    if (to == m_identity.self) {
      boost::asio::post(m_context, [this, message = std::move(message)]() mutable {
        m_on_message(m_identity.self, std::move(message));
      });
      return;
    }
    Envelope envelope;
    envelope.from = m_identity.self;
    envelope.incarnation = m_identity.incarnation;
    envelope.message = std::move(message);
    m_frames.send(to, Encode(envelope), needs_new_connection);
  }

  /// Sets the address of an instance.
  void set_peer_address(base::instance_id const& instance, base::address const& address) {
    m_frames.set_peer_address(instance, address);
  }

  /// The connections that other instances have opened.
  [[nodiscard]] inbound_connections const& inbound() const { return m_frames.inbound(); }

private:
  bool deliver(std::string_view bytes, frame_transport::sender_callback const& report_sender) {
    auto envelope = Decode(bytes);
    if (!envelope) {
      return false;
    }
    report_sender(envelope->from);
    update_incarnation(envelope->from, envelope->incarnation);
    m_on_message(envelope->from, std::move(envelope->message));
    return true;
  }

  /// If the instance has restarted, drops the connection to its previous process, so that new
  /// messages don't queue behind those for that process.
  void update_incarnation(base::instance_id const& from, std::uint64_t incarnation) {
    bool const is_known = m_incarnations.contains(from);
    if (!is_known && m_incarnations.size() >= frame_transport::max_peers) {
      return;
    }
    auto& known = m_incarnations[from];
    if (is_known && known != incarnation) {
      m_frames.drop_connection(from);
    }
    known = incarnation;
  }

  boost::asio::io_context& m_context;
  identity m_identity;
  std::map<base::instance_id, std::uint64_t> m_incarnations;
  handler m_on_message;
  frame_transport m_frames;
};

} // namespace catkinlanding::daemon
