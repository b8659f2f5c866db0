#ifndef CORNELDECK_STANDIN_COMPLETION_H
#define CORNELDECK_STANDIN_COMPLETION_H

#include "Base/Error.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace corneldeck::standin {

/// A chat completion as a caller asks for it.
struct Completion {
  std::string m_Model;
  /// All messages as one text.
  std::string m_Prompt;
  std::uint32_t m_MaxTokens = 0;
  std::uint32_t m_Priority = 0;
  bool m_Stream = false;
  /// Tokens that the caller has already.
  std::uint32_t m_ResumeFrom = 0;
  /// Their text; not checked if empty.
  std::string m_ResumeText;
};

/// Reads the JSON body of a chat completion.
/// \returns the request, or BadRequest with what was expected.
base::Result<Completion> parseCompletion(const std::string &Body);

/// The answer that a prompt always gets, token by token, so that a resumed
/// stream can be compared with an unbroken one.
class AnswerText {
public:
  AnswerText(const std::string &Model, const std::string &Prompt);

  /// \returns the text of the token at \p Index.
  [[nodiscard]] std::string token(std::uint32_t Index) const;

  /// \returns the text of the tokens before \p End.
  [[nodiscard]] std::string tokensBefore(std::uint32_t End) const;

private:
  std::uint64_t m_Seed;
};

/// Formats the answer to one completion.
class AnswerFormat {
public:
  AnswerFormat(const std::string &Id, const std::string &Model);

  /// \returns the server-sent event of one token.
  [[nodiscard]] std::string tokenEvent(std::uint32_t Index,
                                       const std::string &Text) const;
  /// \returns the events that end a stream.
  [[nodiscard]] std::string endEvents() const;
  /// \returns the body of an answer that is not streamed.
  [[nodiscard]] std::string wholeBody(const std::string &Text,
                                      std::uint32_t PromptTokens,
                                      std::uint32_t Tokens) const;

private:
  const std::string m_Id;
  const std::string m_Model;
  /// Everything of a token's event before its text.
  std::string m_Head;
};

} // namespace corneldeck::standin

#endif
