#include "HostileClients.h"

namespace corneldeck::tests {

namespace {

std::string repeat(const std::string &Text, std::size_t Count) {
  std::string Out;
  Out.reserve(Text.size() * Count);
  for (; Count > 0; --Count)
    Out += Text;
  return Out;
}

const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";
/// Far above the limit of a body and the memory of the entry, over all callers.
constexpr std::size_t Endless = 32 * MiB;

} // namespace

// Failure: the lines after a chunked body were kept without a bound.
TEST_F(HostileClients, EndlessTrailers) {
  HostilePlan Plan;
  Plan.m_Start = requestStart("POST") + Chunked + "1\r\na\r\n0\r\n";
  Plan.m_Repeat = repeat("Trailer: " + std::string(100, 't') + "\r\n", 100);
  Plan.m_MaxBytes = Endless;
  runCrowd(8, Plan);
  expectSound();
}

// Failure: the extension of a chunk was kept without a bound.
TEST_F(HostileClients, EndlessChunkExtensions) {
  HostilePlan Plan;
  Plan.m_Start = requestStart("POST") + Chunked + "1;a=";
  Plan.m_Repeat = std::string(16 * KiB, 'x');
  Plan.m_MaxBytes = Endless;
  runCrowd(8, Plan);
  expectSound();
}

// Failure: bodies that announce a length above the limit filled the memory.
TEST_F(HostileClients, AnnouncedBodies) {
  HostilePlan Plan;
  Plan.m_Start = requestStart("POST") + "Content-Length: 1073741824\r\n\r\n";
  Plan.m_Repeat = std::string(64 * KiB, 'b');
  Plan.m_MaxBytes = Endless;
  runCrowd(100, Plan);
  expectSound();
}

// Failure: bodies that exceed the limit without announcing it filled the
// memory.
TEST_F(HostileClients, SentBodies) {
  HostilePlan Plan;
  Plan.m_Start = requestStart("POST") + Chunked;
  Plan.m_Repeat = "10000\r\n" + std::string(64 * KiB, 'b') + "\r\n";
  Plan.m_MaxBytes = Endless;
  runCrowd(100, Plan);
  expectSound();
}

// Failure: bodies within the limit that stop short of their end filled the
// memory together.
TEST_F(HostileClients, BodiesOfLargeChunksThatDoNotEnd) {
  HostilePlan Plan;
  Plan.m_Start = requestStart("POST") + Chunked;
  Plan.m_Repeat = "8000\r\n" + std::string(32 * KiB, 'b') + "\r\n";
  Plan.m_MaxBytes = Plan.m_Start.size() + 31 * Plan.m_Repeat.size();
  runCrowd(200, Plan);
  expectSound();
}

// Failure: the same in chunks of one byte.
TEST_F(HostileClients, BodiesOfSmallChunksThatDoNotEnd) {
  HostilePlan Plan;
  Plan.m_Start = requestStart("POST") + Chunked;
  Plan.m_Repeat = repeat("1\r\nb\r\n", 10 * KiB);
  Plan.m_MaxBytes = Plan.m_Start.size() + 25 * Plan.m_Repeat.size();
  runCrowd(200, Plan, std::chrono::seconds(20));
  expectSound();
}

// Failure: header sections within their limit filled the memory, since each of
// their lines needs more than its bytes.
TEST_F(HostileClients, HeadersOfManyLines) {
  HostilePlan Plan;
  Plan.m_Start = requestStart("GET") + repeat("a:b\r\n", 3200);
  runCrowd(300, Plan, std::chrono::seconds(2));
  expectSound();
}

// Failure: idle connections took all places of callers until their timeout.
TEST_F(HostileClients, IdleConnections) {
  runCrowd(1000, {});
  expectSound();
}

// Failure: the responses to pipelined requests were queued without a bound if
// the caller read none.
TEST_F(HostileClients, PipelinedRequestsWithoutReading) {
  m_Server.m_BodyBytes = 64 * KiB;
  HostilePlan Plan;
  Plan.m_Start = requestStart("GET") + "\r\n";
  Plan.m_Repeat = repeat(Plan.m_Start, 10);
  Plan.m_MaxBytes = Endless;
  Plan.m_HasSmallBuffer = true;
  runCrowd(50, Plan, std::chrono::seconds(6));
  expectSound();
}

// Failure: responses that are read byte by byte filled the memory.
TEST_F(HostileClients, ResponsesReadByteByByte) {
  // More than the send buffer of the system takes, and less than the memory for
  // responses from servers.
  m_Server.m_BodyBytes = 4 * MiB - 64 * KiB;
  HostilePlan Plan;
  Plan.m_Start = requestStart("GET") + "\r\n";
  Plan.m_HasSmallBuffer = true;
  Plan.m_ReadInterval = std::chrono::seconds(1);
  // One after the other: together they would exceed the memory for responses
  // from servers.
  Plan.m_ConnectInterval = std::chrono::milliseconds(40);
  runCrowd(100, Plan, std::chrono::seconds(8));
  m_Server.m_BodyBytes = 0;
  expectSound();
}

// Failure: a bound of the memory that is too small for one request within the
// limits.
TEST_F(HostileClients, LargestOrdinaryRequest) {
  EXPECT_EQ(sendOrdinary(std::string(m_MaxBodyBytes, 'b')), 200);
  expectSound();
}

} // namespace corneldeck::tests
