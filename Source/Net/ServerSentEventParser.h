#ifndef CORNELDECK_NET_SERVERSENTEVENTPARSER_H
#define CORNELDECK_NET_SERVERSENTEVENTPARSER_H

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace corneldeck::net {

/// Splits server-sent events that come in arbitrary pieces.
class ServerSentEventParser {
public:
  /// Is given the data of one event, which is gone after the call.
  using Sink = std::function<void(std::string_view Data)>;

  /// \param MaxEventBytes the most bytes that one event may have.
  explicit ServerSentEventParser(Sink OnEvent,
                                 std::size_t MaxEventBytes = 1024UL * 1024);

  /// Takes the next piece and hands out the events that it completes.
  /// \returns false if an event is over the bound; the stream is of no more
  /// use then.
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
