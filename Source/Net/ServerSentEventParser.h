#ifndef CORNELDECK_NET_SERVERSENTEVENTPARSER_H
#define CORNELDECK_NET_SERVERSENTEVENTPARSER_H

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace corneldeck::net {

/// Parses a stream of server-sent events that arrives in pieces of any size.
class ServerSentEventParser {
public:
  /// Receives the data of one event, which is valid only during the call.
  using Sink = std::function<void(std::string_view Data)>;

  /// \param MaxEventBytes the maximum size of one event.
  explicit ServerSentEventParser(Sink OnEvent,
                                 std::size_t MaxEventBytes = 1024UL * 1024);

  /// Parses the next piece and passes each completed event to the sink.
  /// \returns false if an event exceeds the maximum size; the parser must not
  /// be used afterwards.
  bool feed(std::string_view Piece);

private:
  void handleEvent(std::string_view Event);

  Sink m_OnEvent;
  std::size_t m_MaxEventBytes;
  std::string m_Partial;
  std::string m_Joined;
};

} // namespace corneldeck::net

#endif
