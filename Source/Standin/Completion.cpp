#include "Standin/Completion.h"

#include "Base/RendezvousHash.h"
#include "Standin/Faults.h"

#include <array>

namespace corneldeck::standin {

using nlohmann::json;

namespace {

constexpr std::uint32_t DefaultTokens = 16;
constexpr std::uint32_t MostTokens = 100'000;
constexpr std::uint32_t MostPriority = 1'000;
constexpr std::string_view ObjectName = "chat.completion.chunk";

constexpr std::array<std::string_view, 16> Words{
    "lot",   "tin",   "robot", "doll", "paint", "worn", "key",  "spring",
    "maker", "stamp", "box",   "part", "note",  "date", "fair", "repair"};

/// Reads the fields of one completion; json throws where a type is wrong.
class FieldReader {
public:
  explicit FieldReader(const json &Document) : m_Document(Document) {}

  std::uint32_t number(const char *Key, std::uint32_t Default,
                       std::uint32_t Most) {
    const auto Found = m_Document.find(Key);
    if (Found == m_Document.end())
      return Default;
    if (!Found->is_number_unsigned() || Found->get<std::uint64_t>() > Most) {
      m_Problem = std::string(Key) + ": expected a whole number from 0 to " +
                  std::to_string(Most);
      return Default;
    }
    return Found->get<std::uint32_t>();
  }

  std::string prompt() {
    std::string Text;
    for (const json &Message : m_Document.at("messages")) {
      Text += Message.at("role").get<std::string>();
      Text += ": ";
      Text += Message.at("content").get<std::string>();
      Text += '\n';
    }
    if (Text.empty())
      m_Problem = "messages: expected at least one message";
    return Text;
  }

  [[nodiscard]] const std::string &problem() const { return m_Problem; }

private:
  const json &m_Document;
  std::string m_Problem;
};

Completion readFields(const json &Document, FieldReader &Fields) {
  Completion Asked;
  Asked.m_Model = Document.at("model").get<std::string>();
  Asked.m_Prompt = Fields.prompt();
  Asked.m_MaxTokens = Fields.number("max_tokens", DefaultTokens, MostTokens);
  Asked.m_Priority = Fields.number("priority", 0, MostPriority);
  Asked.m_ResumeFrom = Fields.number("resume_from", 0, MostTokens);
  Asked.m_Stream = Document.value("stream", false);
  Asked.m_ResumeText = Document.value("resume_text", "");
  return Asked;
}

} // namespace

base::Result<Completion> parseCompletion(const std::string &Body) {
  const auto Document = parseObject(Body);
  if (!Document)
    return tl::make_unexpected(Document.error());
  FieldReader Fields(*Document);
  try {
    const Completion Asked = readFields(*Document, Fields);
    if (!Fields.problem().empty())
      return base::failure(base::ResultCode::BadRequest, Fields.problem());
    if (Asked.m_ResumeFrom >= Asked.m_MaxTokens)
      return base::failure(base::ResultCode::BadRequest,
                           "resume_from: expected less than max_tokens");
    return Asked;
  } catch (const json::exception &Failure) {
    return base::failure(base::ResultCode::BadRequest,
                         std::string("expected model and messages of role and "
                                     "content: ") +
                             Failure.what());
  }
}

AnswerText::AnswerText(const std::string &Model, const std::string &Prompt)
    : m_Seed(base::hash64(Prompt, base::hash64(Model))) {}

std::string AnswerText::token(std::uint32_t Index) const {
  constexpr std::uint64_t Marks = 100;
  const std::string_view Place(reinterpret_cast<const char *>(&Index),
                               sizeof(Index));
  const std::uint64_t Hash = base::hash64(Place, m_Seed);
  std::string Text(Words[Hash % Words.size()]);
  Text += std::to_string(Hash / Words.size() % Marks);
  Text += ' ';
  return Text;
}

std::string AnswerText::tokensBefore(std::uint32_t End) const {
  std::string Text;
  for (std::uint32_t Index = 0; Index < End; ++Index)
    Text += token(Index);
  return Text;
}

AnswerFormat::AnswerFormat(const std::string &Id, const std::string &Model)
    : m_Id(Id), m_Model(Model) {
  m_Head = "data: {\"id\":" + dump(Id) + ",\"object\":\"" +
           std::string(ObjectName) + "\",\"model\":" + dump(Model) +
           ",\"choices\":[{\"index\":0,\"finish_reason\":null,"
           "\"delta\":{\"content\":\"";
}

std::string AnswerFormat::tokenEvent(std::uint32_t Index,
                                     const std::string &Text) const {
  // Formatted by hand: a core has to write 100,000 of these a second. The
  // words need no escapes.
  std::string Event;
  Event.reserve(m_Head.size() + Text.size() + sizeof("\"}}],\"token\":}\n\n") +
                std::numeric_limits<std::uint32_t>::digits10 + 1);
  Event += m_Head;
  Event += Text;
  Event += "\"}}],\"token\":";
  Event += std::to_string(Index);
  Event += "}\n\n";
  return Event;
}

std::string AnswerFormat::endEvents() const {
  const json Last = {{"id", m_Id},
                     {"object", ObjectName},
                     {"model", m_Model},
                     {"choices",
                      {{{"index", 0},
                        {"finish_reason", "length"},
                        {"delta", json::object()}}}}};
  return "data: " + dump(Last) + "\n\ndata: [DONE]\n\n";
}

std::string AnswerFormat::wholeBody(const std::string &Text,
                                    std::uint32_t PromptTokens,
                                    std::uint32_t Tokens) const {
  const json Message = {{"role", "assistant"}, {"content", Text}};
  const json Body = {
      {"id", m_Id},
      {"object", "chat.completion"},
      {"model", m_Model},
      {"choices",
       {{{"index", 0}, {"finish_reason", "length"}, {"message", Message}}}},
      {"usage",
       {{"prompt_tokens", PromptTokens}, {"completion_tokens", Tokens}}}};
  return dump(Body);
}

} // namespace corneldeck::standin
