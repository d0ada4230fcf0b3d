#include "misuse.h"

#include <array>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

namespace bronzestand::soak {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

/// A crowd that reconnects at once would only measure the speed of the machine.
constexpr milliseconds ConnectPause{200};
/// A caller that waits does not notice the end of its connection. Longer than HeaderTimeoutMs of
/// the configuration, so that nodes close some themselves.
constexpr milliseconds Life{6000};
constexpr milliseconds SlowPause{100};
constexpr milliseconds NoPause{0};
/// Stated length of bodies that never end; within the limit of the configuration.
constexpr std::size_t BodyBytes = 500'000;
constexpr std::size_t PipelinedRequests = 200;
/// A small receive buffer fills at once, so that answers wait in the node.
constexpr int ReceiveBytes = 8192;

/// What a caller sends: a text, then a piece again and again. It never reads.
struct Script {
  std::string Text_;
  std::string Piece_;
  std::size_t Pieces_ = 0;
  milliseconds Pause_{};
};

std::string head(const std::string &HostName, const std::string &Path, const std::string &Key,
                 std::size_t Length) {
  return fmt::format("POST {} HTTP/1.1\r\nHost: {}\r\nAuthorization: Bearer {}\r\n"
                     "Request-Id: misuse\r\nDeadline-Ms: 4000\r\nContent-Length: {}\r\n\r\n",
                     Path, HostName, Key, Length);
}

} // namespace

/// One caller with one connection at a time.
class MisuseCallers::Caller : public std::enable_shared_from_this<Caller> {
public:
  Caller(boost::asio::io_context &Io, const node::Endpoint &To, Script What)
      : Socket_(Io), Timer_(Io), PieceTimer_(Io),
        To_(boost::asio::ip::make_address(To.Address_), To.Port_), What_(std::move(What)) {}

  void connect() {
    if (Stopped_)
      return;
    ++Opened_;
    Socket_ = tcp::socket(Timer_.get_executor());
    error_code Failure;
    Socket_.open(tcp::v4(), Failure);
    Socket_.set_option(boost::asio::socket_base::receive_buffer_size(ReceiveBytes), Failure);
    Socket_.async_connect(To_, [Self = shared_from_this(), Run = Opened_](error_code Refused) {
      if (Run != Self->Opened_)
        return;
      if (Refused) {
        Self->connectAfter(ConnectPause);
        return;
      }
      Self->Left_ = Self->What_.Pieces_;
      Self->connectAfter(Life);
      Self->write(Self->What_.Text_);
    });
  }
  void stop() {
    Stopped_ = true;
    Timer_.cancel();
    PieceTimer_.cancel();
    error_code Ignored;
    Socket_.close(Ignored);
  }
  std::uint64_t opened() const { return Opened_; }

private:
  /// Replaces the connection after a time.
  void connectAfter(milliseconds Time) {
    if (Stopped_)
      return;
    Timer_.expires_after(Time);
    Timer_.async_wait([Self = shared_from_this()](error_code Cancelled) {
      if (!Cancelled)
        Self->connect();
    });
  }
  void write(const std::string &Text) {
    boost::asio::async_write(
        Socket_, boost::asio::buffer(Text),
        [Self = shared_from_this(), Run = Opened_](error_code Failure, std::size_t) {
          if (Run != Self->Opened_)
            return;
          if (Failure)
            Self->connectAfter(ConnectPause);
          else
            Self->writeNext();
        });
  }
  void writeNext() {
    if (Stopped_ || Left_ == 0)
      return;
    --Left_;
    PieceTimer_.expires_after(What_.Pause_);
    PieceTimer_.async_wait([Self = shared_from_this(), Run = Opened_](error_code Cancelled) {
      if (!Cancelled && Run == Self->Opened_)
        Self->write(Self->What_.Piece_);
    });
  }

  tcp::socket Socket_;
  boost::asio::steady_timer Timer_;      ///< until the next connection
  boost::asio::steady_timer PieceTimer_; ///< until the next piece
  tcp::endpoint To_;
  Script What_;
  std::size_t Left_ = 0;
  std::uint64_t Opened_ = 0;
  bool Stopped_ = false;
};

MisuseCallers::MisuseCallers(boost::asio::io_context &Io,
                             const std::vector<node::Endpoint> &Callers,
                             const std::string &HostName, const std::string &Path,
                             const std::string &Key) {
  const std::string Begin = head(HostName, Path + "misuse", Key, BodyBytes);
  const std::string Denied = head(HostName, Path + "misuse", "no-key", 0);
  const std::string Unknown = head(HostName, "/no-route/", Key, 0);
  const std::array<Script, 6> Scripts{{
      {Begin.substr(0, Begin.size() - 2), "x-slow: 1\r\n", BodyBytes, SlowPause}, // slow head
      {Begin, "x", BodyBytes - 1, SlowPause},                                     // slow body
      {Denied, Denied, PipelinedRequests, NoPause},              // pipelines, never reads
      {Unknown, Unknown, PipelinedRequests, NoPause},            // the same
      {Begin.substr(0, Begin.size() / 2), "", 0, NoPause},       // stops within the head
      {Begin + std::string(BodyBytes - 1, 'x'), "", 0, NoPause}, // and before the last byte
  }};
  for (const node::Endpoint &To : Callers)
    for (const Script &What : Scripts) {
      Callers_.push_back(std::make_shared<Caller>(Io, To, What));
      Callers_.back()->connect();
    }
}

MisuseCallers::~MisuseCallers() {
  for (const auto &Item : Callers_)
    Item->stop();
}

std::uint64_t MisuseCallers::opened() const {
  std::uint64_t Sum = 0;
  for (const auto &Item : Callers_)
    Sum += Item->opened();
  return Sum;
}

} // namespace bronzestand::soak
