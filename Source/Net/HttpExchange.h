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

/// One request of a caller and the way to answer it.
///
/// All members are called on the thread of the server's io_context. If the
/// last reference goes away unanswered, the caller gets an internal error.
class HttpExchange {
public:
  struct Impl;

  /// Made by the server alone.
  explicit HttpExchange(std::unique_ptr<Impl> State);
  ~HttpExchange();
  HttpExchange(const HttpExchange &) = delete;
  HttpExchange &operator=(const HttpExchange &) = delete;

  [[nodiscard]] std::string_view method() const;
  /// \returns the path with its query, as sent.
  [[nodiscard]] std::string_view target() const;
  /// \returns the value of the header field, or an empty text.
  [[nodiscard]] std::string_view header(std::string_view Name) const;
  /// Calls \p Visit with the name and value of each header field.
  void forEachHeader(const std::function<void(std::string_view,
                                              std::string_view)> &Visit) const;
  [[nodiscard]] const std::string &body() const;
  /// \returns the body, which this object no longer has afterwards.
  std::string takeBody();
  /// \returns the caller's address as "ip:port".
  [[nodiscard]] const std::string &remoteAddress() const;

  /// Sends the whole answer. Only the first answer counts.
  void respond(const HttpResponse &Response);
  void respond(int Status, const HttpHeaders &Headers, std::string_view Body);
  /// Sends errorResponse().
  void respondWithError(const base::Error &Failure,
                        std::optional<base::Ran> Value = std::nullopt);

  /// Sends the head of an answer whose body follows in pieces.
  void startStream(int Status, const HttpHeaders &Headers);
  /// Queues a piece of the body; pieces that are queued together leave in one
  /// write.
  /// \returns false if the caller is gone or was dropped for reading too
  /// slowly.
  bool writeChunk(std::string_view Data);
  /// Ends a body that was sent in pieces.
  void endStream();
  /// \returns the bytes that are queued and not yet with the kernel.
  [[nodiscard]] std::size_t queuedBytes() const;

  /// Sets the hook that runs once if the caller goes away before the answer
  /// is complete.
  void onClosed(std::function<void()> Hook);

  /// Closes the connection without an answer or in the middle of one.
  void abort();

  /// \returns whether an answer was begun.
  [[nodiscard]] bool responseStarted() const;

private:
  std::unique_ptr<Impl> m_Impl;
};

} // namespace corneldeck::net

#endif
