// An HTTP server that calls a function for each request.
#pragma once

#include <functional>
#include <utility>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>

namespace quetzal {

// Serves each connection on a thread of its own, on a free port of 127.0.0.1.
class FunctionServer
{
public:
    using Function = std::function<void(Poco::Net::HTTPServerRequestImpl &,
                                        Poco::Net::HTTPServerResponse &)>;

    explicit FunctionServer(Function function)
        : server(new Factory(std::move(function)), this->threads,
                 Poco::Net::ServerSocket(Poco::Net::SocketAddress("127.0.0.1", 0)), options())
    {
        this->server.start();
    }

    ~FunctionServer()
    {
        this->server.stopAll(true);
        this->threads.joinAll();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(this->server.port()); }

private:
    struct Call : Poco::Net::HTTPRequestHandler
    {
        explicit Call(const Function &function)
            : function(function)
        {}

        void handleRequest(Poco::Net::HTTPServerRequest &request,
                           Poco::Net::HTTPServerResponse &response) override
        {
            this->function(dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(request), response);
        }

        const Function &function;
    };

    struct Factory : Poco::Net::HTTPRequestHandlerFactory
    {
        explicit Factory(Function function)
            : function(std::move(function))
        {}

        Poco::Net::HTTPRequestHandler *
        createRequestHandler(const Poco::Net::HTTPServerRequest &) override
        {
            return new Call(this->function);
        }

        Function function;
    };

    static Poco::Net::HTTPServerParams::Ptr options()
    {
        Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
        params->setKeepAliveTimeout(Poco::Timespan(60, 0));
        params->setMaxThreads(128);
        return params;
    }

    Poco::ThreadPool threads = Poco::ThreadPool(2, 130);
    Poco::Net::HTTPServer server;
};

} // namespace quetzal
