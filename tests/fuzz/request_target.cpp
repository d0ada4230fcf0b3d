#include "fuzz/targets.h"

#include <algorithm>
#include <limits>

#include "node/http_request_reader.h"

namespace bronzestand::fuzz {
namespace {

using node::HttpRequest;
using node::detail::RequestReader;

constexpr std::uint32_t HeaderBytes = 2048;
constexpr std::uint64_t BodyBytes = 20'000;
/// Buffer of a head and of read-ahead, the head at its size in memory (a field of three bytes takes
/// some 100), and the body with its growth.
constexpr std::size_t MaxHeldBytes = 400UL * 1024;

struct Parsed {
  std::vector<HttpRequest> Requests_;
  bool Failed_ = false;
  std::string Fault_;
};

/// Reads requests as a connection does.
Parsed parse(const std::string &Text, std::size_t MaxPiece, Mutator *Choice) {
  Parsed Out;
  RequestReader Reader;
  Reader.begin(HeaderBytes, BodyBytes);
  HttpRequest Head;
  std::size_t Offset = 0;
  // Each step takes input, or ends a head or a body, which begin with input.
  for (std::size_t Step = 0; !Out.Failed_ && Out.Fault_.empty(); ++Step) {
    if (Step > 4 * Text.size() + 16)
      Out.Fault_ = "parser makes no progress";
    if (Reader.nextGrowth() != 0)
      Reader.grow();
    boost::system::error_code Failure;
    const RequestReader::Step Next = Reader.parse(Failure);
    if (Reader.bytes() > MaxHeldBytes)
      Out.Fault_ = "request holds " + std::to_string(Reader.bytes()) + " bytes";
    if (Next == RequestReader::Step::Failed) {
      Out.Failed_ = true;
      if (!Failure)
        Out.Fault_ = "failed without a reason";
    } else if (Next == RequestReader::Step::Head) {
      Out.Failed_ = !Reader.isUnambiguous();
      Head = Reader.takeHead();
      if (Reader.bodyLength() && *Reader.bodyLength() > BodyBytes)
        Out.Fault_ = "accepts a length over the limit";
    } else if (Next == RequestReader::Step::Whole) {
      Head.Body_ = Reader.takeBody();
      if (Head.Body_.size() > BodyBytes)
        Out.Fault_ = "body of " + std::to_string(Head.Body_.size()) + " bytes";
      Out.Requests_.push_back(std::exchange(Head, {}));
      Reader.begin(HeaderBytes, BodyBytes);
    } else {
      if (Offset == Text.size())
        break;
      const auto Place = Reader.prepare();
      if (Place.size() == 0) {
        Out.Fault_ = "no place for more input";
        break;
      }
      std::size_t Count = std::min({Place.size(), Text.size() - Offset, MaxPiece});
      if (Choice != nullptr)
        Count = 1 + Choice->below(Count);
      std::copy_n(Text.data() + Offset, Count, static_cast<char *>(Place.data()));
      Reader.commit(Count);
      Offset += Count;
    }
  }
  return Out;
}

bool areEqual(const HttpRequest &A, const HttpRequest &B) {
  return A.Method_ == B.Method_ && A.Target_ == B.Target_ && A.Body_ == B.Body_ &&
         std::equal(A.Headers_.begin(), A.Headers_.end(), B.Headers_.begin(), B.Headers_.end(),
                    [](const Header &X, const Header &Y) {
                      return X.Name_ == Y.Name_ && X.Value_ == Y.Value_;
                    });
}

/// Parser of the requests of callers. Requests must not depend on the pieces in which they arrive.
class RequestTarget final : public Target {
public:
  std::string run(const std::string &Input, Mutator &Choice) override {
    const Parsed Whole = parse(Input, std::numeric_limits<std::size_t>::max(), nullptr);
    if (!Whole.Fault_.empty())
      return Whole.Fault_;
    const std::size_t MaxPiece = Choice.below(2) == 0 ? 3 : 1500;
    const Parsed Pieces = parse(Input, MaxPiece, &Choice);
    if (!Pieces.Fault_.empty())
      return Pieces.Fault_ + " in pieces";
    if (!std::equal(Whole.Requests_.begin(), Whole.Requests_.end(), Pieces.Requests_.begin(),
                    Pieces.Requests_.end(), areEqual))
      return "other requests in pieces";
    // A head that has not ended may be refused in one way and wait for more in the other.
    return "";
  }
};

} // namespace

std::unique_ptr<Target> makeRequestTarget() { return std::make_unique<RequestTarget>(); }

} // namespace bronzestand::fuzz
