#pragma once

#include <services/daemon/frame_transport.h>

#include <boost/asio/post.hpp>

namespace catkinlanding::daemon {

/// Carries the messages of one protocol between instances. `Decode` reads an envelope from bytes.
template<class Envelope, auto Decode>
class message_transport {
public:
  using message = decltype(Envelope::message);
  using handler = std::function<void(base::instance_id const& from, message message)>;
  using sockets = frame_transport::sockets;

  message_transport(boost::asio::io_context& context, base::instance_id self, sockets sockets,
                    std::map<base::instance_id, base::address> const& peers, handler on_message)
      : m_context(context), m_self(std::move(self)), m_on_message(std::move(on_message)),
        m_frames(context, std::move(sockets), peers,
                 [this](std::string_view bytes, frame_transport::sender_note const& note_sender) {
                   return deliver(bytes, note_sender);
                 }) {}

  void send(base::instance_id const& to, message message) {
    if (to == m_self) {
      boost::asio::post(m_context, [this, message = std::move(message)]() mutable {
        m_on_message(m_self, std::move(message));
      });
      return;
    }
    Envelope envelope;
    envelope.from = m_self;
    envelope.message = std::move(message);
    m_frames.send(to, encode(envelope));
  }

  /// From now on the instance is reached at this address.
  void learn(base::instance_id const& instance, base::address const& address) {
    m_frames.learn(instance, address);
  }

private:
  bool deliver(std::string_view bytes, frame_transport::sender_note const& note_sender) {
    auto envelope = Decode(bytes);
    if (!envelope) {
      return false;
    }
    note_sender(envelope->from);
    m_on_message(envelope->from, std::move(envelope->message));
    return true;
  }

  boost::asio::io_context& m_context;
  base::instance_id m_self;
  handler m_on_message;
  frame_transport m_frames;
};

} // namespace catkinlanding::daemon
