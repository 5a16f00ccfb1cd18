#include "process/eventlog.h"

#include <cerrno>
#include <cstdio>

#include <Poco/Exception.h>
#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

namespace quetzal {

namespace {

// Writes lines to standard output without ever blocking on its reader.
class NonBlockingAppender final : public log4cplus::Appender
{
public:
    NonBlockingAppender()
    {
        const int flags = fcntl(STDOUT_FILENO, F_GETFL, 0);
        if (flags >= 0)
            fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    ~NonBlockingAppender() override { this->destructorImpl(); }
    void close() override { this->closed = true; }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        if (this->droppedLines > 0
            && !this->write("lines-lost count=" + std::to_string(this->droppedLines) + "\n"))
            return this->countDroppedLine();
        this->droppedLines = 0;
        if (!this->write(this->formatEvent(event)))
            this->countDroppedLine();
    }

private:
    void countDroppedLine() { this->droppedLines += 1; }

    // Returns false if nothing was written. The rest of a partially written line is dropped.
    static bool write(const std::string &line)
    {
        const ssize_t count = ::write(STDOUT_FILENO, line.data(), line.size());
        return count > 0;
    }

    std::uint64_t droppedLines = 0;
};

void useAppender(log4cplus::SharedAppenderPtr appender)
{
    appender->setLayout(
            std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p %m%n"));
    log4cplus::Logger logger = log4cplus::Logger::getInstance("quetzal");
    logger.removeAllAppenders();
    logger.addAppender(std::move(appender));
    logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
}

} // namespace

void startConsoleLog()
{
    static const log4cplus::Initializer initializer;
    useAppender(log4cplus::SharedAppenderPtr(new NonBlockingAppender()));
}

void startLog(const std::string &path)
{
    static const log4cplus::Initializer initializer;
    log4cplus::SharedAppenderPtr appender;
    if (path.empty())
        appender = new log4cplus::ConsoleAppender(true, true);
    else
        appender = new log4cplus::FileAppender(path, std::ios_base::app);
    useAppender(appender);
}

std::string quotable(std::string_view text)
{
    static constexpr std::size_t maxBytes = 200;
    std::string result(text.substr(0, maxBytes));
    for (char &c : result) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x20 || byte == 0x7f || c == '"')
            c = '?';
    }
    return result;
}

std::string describe(const std::exception &failure)
{
    const auto *poco = dynamic_cast<const Poco::Exception *>(&failure);
    return quotable(poco != nullptr ? poco->displayText() : failure.what());
}

void logEvent(LogEvent event, const std::string &fields)
{
    const LogEventInfo &info = logEvents[static_cast<std::size_t>(event)];
    const std::string line
            = "QZ" + std::to_string(info.number) + " " + std::string(info.name) + " " + fields;
    const log4cplus::Logger logger = log4cplus::Logger::getInstance("quetzal");
    switch (info.level) {
    case LogLevel::Info:
        LOG4CPLUS_INFO(logger, line);
        break;
    case LogLevel::Warning:
        LOG4CPLUS_WARN(logger, line);
        break;
    case LogLevel::Error:
        LOG4CPLUS_ERROR(logger, line);
        break;
    }
}

} // namespace quetzal
