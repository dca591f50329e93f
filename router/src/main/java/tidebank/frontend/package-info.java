/**
 * The HTTP server of a query router, which sends one response to each request of a client.
 *
 * <p>{@link tidebank.frontend.ClientServer} listens and owns the connections. Each one is a {@code
 * ClientConnection} at the end of the pipeline that {@code ClientPipeline} builds. {@code
 * ClientInputHandler} reads its input, within the {@code ParseQuota} that {@code
 * ClientInputScheduler} shares out. Its requests are {@code HttpExchange}s, queued in order until
 * they have their responses. {@code RequestRouter} responds to a request according to its path, and
 * {@code QueryRequestParser} converts it to a {@link tidebank.runtime.QueryRequest}. A query goes
 * to the {@link tidebank.runtime.PolicyExecutor}, with its exchange as the callback for the final
 * response.
 *
 * <p>{@code ConnectionBudget} chooses the connection to close when a new one exceeds the budget,
 * {@code ListeningSocket} stops accepting when the budget is exhausted, and {@code
 * ConnectionTimers} holds the time limits of a connection.
 *
 * <p>All state is confined to the router's event loop. Where to start: {@code
 * ClientConnection.read} for a request, {@code ClientConnection.writeResponses} for a response,
 * {@code ClientServer.stopAccepting} for a shutdown.
 */
package tidebank.frontend;
