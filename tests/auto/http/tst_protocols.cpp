#define BOOST_TEST_MODULE tst_protocols
#include "loopback.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <filesystem>
#include <memory>
#include <vector>

using namespace Lagoonbank;
using namespace Lagoonbank::Http;
using Lagoonbank::Test::PausedLoop;
using Lagoonbank::Test::RawSocket;

namespace {

/// An HTTP/2 frame.
struct Frame
{
    int type = 0;
    int flags = 0;
    std::uint32_t stream = 0;
    std::string payload;
};

constexpr int dataFrame = 0;
constexpr int headersFrame = 1;
constexpr int resetFrame = 3;
constexpr int goAwayFrame = 7;
constexpr int endStreamFlag = 1;

std::uint32_t number(std::string_view bytes)
{
    std::uint32_t value = 0;
    for (const char c : bytes)
        value = value << 8 | static_cast<unsigned char>(c);
    return value;
}

std::vector<Frame> frames(std::string_view bytes)
{
    constexpr std::size_t headBytes = 9;
    std::vector<Frame> result;
    while (bytes.size() >= headBytes) {
        const std::size_t length = number(bytes.substr(0, 3));
        if (bytes.size() < headBytes + length)
            break;
        result.push_back({bytes[3], bytes[4], number(bytes.substr(5, 4)) & 0x7fffffff,
                          std::string(bytes.substr(headBytes, length))});
        bytes.remove_prefix(headBytes + length);
    }
    return result;
}

std::string frame(int type, int flags, std::uint32_t stream, std::string_view payload)
{
    std::string bytes;
    const auto put = [&](std::uint32_t value, int count) {
        for (int shift = 8 * (count - 1); shift >= 0; shift -= 8)
            bytes += static_cast<char>(value >> shift & 0xff);
    };
    put(static_cast<std::uint32_t>(payload.size()), 3);
    put(static_cast<std::uint32_t>(type), 1);
    put(static_cast<std::uint32_t>(flags), 1);
    put(stream, 4);
    bytes += payload;
    return bytes;
}

const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(4, 0, 0, "");
constexpr std::string_view getHeaders("\x82\x86\x84\x41\x01"
                                      "a");
constexpr std::string_view postHeaders("\x83\x86\x84\x41\x01"
                                       "a");

struct Fixture : PausedLoop
{
    explicit Fixture(std::optional<Server::Tls> tls = {})
        : server({.loop = &loop,
                  .address = {"127.0.0.1", 0},
                  .limits = {.bodyBytes = 1000},
                  .http2 = true,
                  .tls = std::move(tls)})
    {
        server.setHandler([this](Request request, const std::shared_ptr<Responder> &responder) {
            requests.push_back(std::move(request));
            responders.push_back(responder);
            responder->setDisconnectHandler([this] { ++disconnects; });
        });
        BOOST_REQUIRE(server.listen());
    }
    bool hasFrame(RawSocket &caller, int type, std::uint32_t stream, int flags = 0)
    {
        for (const Frame &received : frames(caller.receive())) {
            if (received.type == type && received.stream == stream
                && (received.flags & flags) == flags) {
                return true;
            }
        }
        return false;
    }

    Server server;
    std::vector<Request> requests;
    std::vector<std::shared_ptr<Responder>> responders;
    int disconnects = 0;
};

/// Writes a self-signed certificate for \a name and its key as PEM files.
Server::Tls writeCertificate(const std::filesystem::path &folder, const std::string &name)
{
    const std::unique_ptr<EVP_PKEY, void (*)(EVP_PKEY *)> key(EVP_EC_gen("P-256"), EVP_PKEY_free);
    const std::unique_ptr<X509, void (*)(X509 *)> certificate(X509_new(), X509_free);
    X509_set_version(certificate.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -3600);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 3600);
    X509_set_pubkey(certificate.get(), key.get());
    X509_NAME *subject = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), subject);
    X509_sign(certificate.get(), key.get(), EVP_sha256());
    Server::Tls files{folder / "certificate.pem", folder / "key.pem"};
    std::FILE *certificateFile = std::fopen(files.certificateFile.c_str(), "w");
    PEM_write_X509(certificateFile, certificate.get());
    std::fclose(certificateFile);
    std::FILE *keyFile = std::fopen(files.keyFile.c_str(), "w");
    PEM_write_PrivateKey(keyFile, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(keyFile);
    return files;
}

struct TemporaryFolder
{
    TemporaryFolder()
    {
        std::string name = std::filesystem::temp_directory_path() / "tst_protocols-XXXXXX";
        BOOST_REQUIRE(mkdtemp(name.data()));
        path = name;
    }
    ~TemporaryFolder() { std::filesystem::remove_all(path); }
    std::filesystem::path path;
};

CallResult callOverTls(Fixture &f, const std::string &caFile, const std::string &name)
{
    Client client({.loop = &f.loop, .caFile = caFile});
    std::optional<CallResult> result;
    client.start({.server = f.server.address(), .tls = true, .serverName = name},
                 {.finished = [&](CallResult given) { result = std::move(given); }});
    std::size_t answered = f.responders.size();
    BOOST_REQUIRE(f.runUntil([&] {
        for (; answered < f.responders.size(); ++answered)
            f.responders[answered]->send(200, {}, "secret");
        return result.has_value();
    }));
    return *result;
}

} // namespace

BOOST_AUTO_TEST_CASE(http2StreamsAreAnsweredConcurrently)
{
    Fixture f;
    RawSocket caller(f.server.address());
    caller.send(preface + frame(1, 5, 1, getHeaders) + frame(1, 4, 3, postHeaders)
                + frame(0, 1, 3, "body"));
    BOOST_REQUIRE(f.runUntil([&] { return f.responders.size() == 2; }));
    BOOST_TEST(f.requests[0].method == "GET");
    BOOST_TEST(f.requests[0].path == "/");
    BOOST_TEST(f.requests[1].method == "POST");
    BOOST_TEST(f.requests[1].body == "body");
    f.responders[1]->send(200, {}, "second");
    BOOST_TEST(f.runUntil([&] { return f.hasFrame(caller, dataFrame, 3, endStreamFlag); }));
    BOOST_TEST(!f.hasFrame(caller, headersFrame, 1));
    f.responders[0]->begin(200, {});
    f.responders[0]->write("first");
    BOOST_TEST(f.runUntil([&] { return f.hasFrame(caller, dataFrame, 1); }));
    f.responders[0]->end();
    BOOST_TEST(f.runUntil([&] { return f.hasFrame(caller, dataFrame, 1, endStreamFlag); }));
    BOOST_TEST(f.disconnects == 0);
}

BOOST_AUTO_TEST_CASE(http2AbortResetsOnlyItsStream)
{
    for (const bool begins : {false, true}) {
        Fixture f;
        RawSocket caller(f.server.address());
        caller.send(preface + frame(1, 5, 1, getHeaders) + frame(1, 5, 3, getHeaders));
        BOOST_REQUIRE(f.runUntil([&] { return f.responders.size() == 2; }));
        if (begins) {
            f.responders[0]->begin(200, {});
            f.responders[0]->write("piece");
            BOOST_TEST(f.runUntil([&] { return f.hasFrame(caller, dataFrame, 1); }));
        }
        f.responders[0]->abort();
        BOOST_TEST(f.runUntil([&] { return f.hasFrame(caller, resetFrame, 1); }));
        BOOST_TEST(!f.hasFrame(caller, dataFrame, 1, endStreamFlag));
        f.responders[1]->send(200, {}, "whole");
        BOOST_TEST(f.runUntil([&] { return f.hasFrame(caller, dataFrame, 3, endStreamFlag); }));
    }
}

BOOST_AUTO_TEST_CASE(http2StreamResetIsDisconnect)
{
    for (const bool begins : {false, true}) {
        Fixture f;
        RawSocket caller(f.server.address());
        caller.send(preface + frame(1, 5, 1, getHeaders));
        BOOST_REQUIRE(f.runUntil([&] { return f.responders.size() == 1; }));
        if (begins) {
            f.responders[0]->begin(200, {});
            f.responders[0]->write("piece");
            BOOST_TEST(f.runUntil([&] { return f.hasFrame(caller, dataFrame, 1); }));
        }
        caller.send(frame(resetFrame, 0, 1, std::string_view("\0\0\0\x08", 4)));
        BOOST_TEST(f.runUntil([&] { return f.disconnects == 1; }));
        f.responders[0]->write("into the void");
        caller.send(frame(1, 5, 3, getHeaders));
        BOOST_REQUIRE(f.runUntil([&] { return f.responders.size() == 2; }));
        f.responders[1]->send(200, {}, "next");
        BOOST_TEST(f.runUntil([&] { return f.hasFrame(caller, dataFrame, 3, endStreamFlag); }));
        BOOST_TEST(f.disconnects == 1);
    }
}

BOOST_AUTO_TEST_CASE(http2ConnectionCloseIsDisconnect)
{
    Fixture f;
    RawSocket caller(f.server.address());
    caller.send(preface + frame(1, 5, 1, getHeaders) + frame(1, 5, 3, getHeaders));
    BOOST_REQUIRE(f.runUntil([&] { return f.responders.size() == 2; }));
    caller.close();
    BOOST_TEST(f.runUntil([&] { return f.disconnects == 2; }));
    BOOST_TEST(f.runUntil([&] { return f.server.openConnections() == 0; }));
}

BOOST_AUTO_TEST_CASE(http2BodyTooLargeIsRefused)
{
    Fixture f;
    RawSocket caller(f.server.address());
    caller.send(preface + frame(1, 4, 1, postHeaders) + frame(0, 1, 1, std::string(1001, 'x')));
    BOOST_TEST(f.runUntil([&] { return f.hasFrame(caller, resetFrame, 1); }));
    BOOST_TEST(f.requests.empty());
}

BOOST_AUTO_TEST_CASE(http2SlowSenderIsDisconnected)
{
    Fixture f;
    RawSocket caller(f.server.address());
    caller.send(preface + frame(1, 4, 1, postHeaders) + frame(0, 0, 1, "half"));
    f.runIterations(5);
    for (int i = 0; i < 36; ++i)
        f.advance(std::chrono::milliseconds(250));
    BOOST_TEST(!caller.isEnded());
    for (int i = 0; i < 8; ++i)
        f.advance(std::chrono::milliseconds(250));
    BOOST_TEST(f.runUntil([&] { return caller.isEnded(); }));
}

BOOST_AUTO_TEST_CASE(http2StopSendsGoAwayAndFinishesStreams)
{
    Fixture f;
    RawSocket caller(f.server.address());
    caller.send(preface + frame(1, 5, 1, getHeaders));
    BOOST_REQUIRE(f.runUntil([&] { return f.responders.size() == 1; }));
    f.server.stopAccepting();
    BOOST_TEST(f.runUntil([&] { return f.hasFrame(caller, goAwayFrame, 0); }));
    f.responders[0]->send(200, {}, "last");
    BOOST_TEST(f.runUntil([&] { return f.hasFrame(caller, dataFrame, 1, endStreamFlag); }));
}

BOOST_AUTO_TEST_CASE(tlsServesAndVerifiesNames)
{
    const TemporaryFolder folder;
    const Server::Tls files = writeCertificate(folder.path, "one.test");
    Fixture f(files);
    const CallResult complete = callOverTls(f, files.certificateFile, "one.test");
    BOOST_TEST((complete.end == CallEnd::Whole));
    BOOST_TEST(complete.body == "secret");
    for (const auto &[caFile, name] :
         {std::pair{files.certificateFile, "two.test"}, {std::string(), "one.test"}}) {
        BOOST_TEST_CONTEXT(caFile << " " << name)
        {
            const CallResult refused = callOverTls(f, caFile, name);
            BOOST_TEST((refused.end == CallEnd::NotConnected));
            BOOST_TEST(!refused.mayHaveBeenSent);
        }
    }
    BOOST_TEST(f.requests.size() == 1U);
}

BOOST_AUTO_TEST_CASE(tlsReloadKeepsOldFilesOnError)
{
    const TemporaryFolder folder;
    const Server::Tls files = writeCertificate(folder.path, "one.test");
    Fixture f(files);
    std::filesystem::rename(files.keyFile, folder.path / "away");
    const auto failed = f.server.reloadTls();
    BOOST_REQUIRE(!failed);
    BOOST_TEST(failed.error().detail.find("key.pem") != std::string::npos);
    BOOST_TEST((callOverTls(f, files.certificateFile, "one.test").end == CallEnd::Whole));
    writeCertificate(folder.path, "two.test");
    BOOST_REQUIRE(f.server.reloadTls());
    BOOST_TEST((callOverTls(f, files.certificateFile, "two.test").end == CallEnd::Whole));
}

BOOST_AUTO_TEST_CASE(tlsOffersHttp2)
{
    const TemporaryFolder folder;
    Fixture f(writeCertificate(folder.path, "one.test"));
    const std::unique_ptr<SSL_CTX, void (*)(SSL_CTX *)> context(SSL_CTX_new(TLS_client_method()),
                                                                SSL_CTX_free);
    for (const std::string_view offered : {"\x02h2", "\x08http/1.1", "\x02h2\x08http/1.1"}) {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in native{};
        native.sin_family = AF_INET;
        native.sin_port = htons(f.server.address().port);
        native.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE_EQUAL(connect(fd, reinterpret_cast<sockaddr *>(&native), sizeof native), 0);
        const RawSocket owner(fd);
        const std::unique_ptr<SSL, void (*)(SSL *)> ssl(SSL_new(context.get()), SSL_free);
        SSL_set_fd(ssl.get(), fd);
        SSL_set_alpn_protos(ssl.get(), reinterpret_cast<const unsigned char *>(offered.data()),
                            static_cast<unsigned>(offered.size()));
        BOOST_TEST(f.runUntil([&] { return SSL_connect(ssl.get()) == 1; }));
        const unsigned char *selected = nullptr;
        unsigned length = 0;
        SSL_get0_alpn_selected(ssl.get(), &selected, &length);
        const std::string_view protocol(reinterpret_cast<const char *>(selected), length);
        BOOST_TEST(protocol == (offered[0] == 2 ? "h2" : "http/1.1"));
    }
}
