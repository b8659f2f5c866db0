#ifndef CORNELDECK_NET_HTTPEXCHANGE_H
#define CORNELDECK_NET_HTTPEXCHANGE_H

#include "Net/Http.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace corneldeck::net {

/// One request of a caller and its response.
///
/// All members must be called on the thread of the server's io_context. If the
/// object is destroyed without a response, the caller receives an Internal
/// error.
class HttpExchange {
public:
  struct Impl;

  /// Created by HttpServer only.
  explicit HttpExchange(std::unique_ptr<Impl> State);
  ~HttpExchange();
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  [[nodiscard]] std::string_view method() const;
  /// \returns the path and the query as sent.
  [[nodiscard]] std::string_view target() const;
  /// \returns the value of the header field, or an empty string.
  [[nodiscard]] std::string_view header(std::string_view Name) const;
  /// Calls \p Visit with the name and value of each header field.
  void forEachHeader(const std::function<void(std::string_view,
                                              std::string_view)> &Visit) const;
  [[nodiscard]] const std::string &body() const;
  /// Moves the body out of this object.
  std::string takeBody();
  /// \returns the caller's address as "ip:port".
  [[nodiscard]] const std::string &remoteAddress() const;

  /// Sends the whole response. Does nothing if a response was started.
  /// \param Done runs once, when the operating system has accepted all bytes
  /// of the response or the connection is closed.
  void respond(const HttpResponse &Response, std::function<void()> Done = {});
  void respond(int Status, const HttpHeaders &Headers, std::string_view Body,
               std::function<void()> Done = {});
  /// Sends the result of errorResponse().
  void respondWithError(const base::Error &Failure,
                        std::optional<base::Ran> Value = std::nullopt);

  /// Sends the head of a response whose body follows in pieces.
  void startStream(int Status, const HttpHeaders &Headers);
  /// Queues a piece of the body. Pieces queued in one handler are sent in one
  /// write.
  /// \returns false if the connection is closed, also when this call
  /// closed it because the caller reads too slowly.
  bool writeChunk(std::string_view Data);
  /// Ends the body of a response started with startStream().
  void endStream();
  /// \returns the number of bytes that are not yet written to the socket.
  [[nodiscard]] std::size_t queuedBytes() const;

  /// Sets a hook that runs once if the connection closes before the response is
  /// complete.
  void onClosed(std::function<void()> Hook);

  /// Closes the connection without completing the response.
  void abort();

  /// \returns whether a response was started.
  [[nodiscard]] bool responseStarted() const;

private:
  std::unique_ptr<Impl> m_Impl;
};

} // namespace corneldeck::net

#endif
